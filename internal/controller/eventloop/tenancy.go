package eventloop

import (
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

// CellsQuery asks how tenants and backends stand; To must have room, as the loop does not wait.
type CellsQuery struct{ Reply chan<- tenancy.View }

// FleetQuery asks for the list as cells see it; To must have room.
type FleetQuery struct{ Reply chan<- []tenancy.Backend }

func (d *Loop) show() tenancy.View {
	if d.tenancy == nil {
		return tenancy.View{}
	}
	return d.tenancy.Show()
}

// fleet is the list as it is now. Where gone alone does not bind, who was dropped while serving counts on: a list
// that was emptied by mistake ends no confinement.
func (d *Loop) fleet() (all []tenancy.Backend) {
	for at, on := range d.listed {
		e := d.entries[at]
		if on || !d.removalBinds && d.backends[at] != "" && e.Status == policy.Ready {
			all = append(all, tenancy.Backend{At: at, ID: d.backends[at], Zone: e.Zone, Kind: e.Kind, Status: e.Status,
				Weight: e.Weight, Up: e.StartedAt})
		}
	}
	return all
}

// stepTenancy lets cells settle what this moment changes, before the decisions: they hear of both at once.
func (d *Loop) stepTenancy() {
	events := d.tenancyEvents
	d.tenancyEvents = nil
	listed := false
	for _, e := range d.events {
		switch e := e.(type) {
		case policy.ListUpdate:
			listed = listed || e.Kind != policy.ListFailed
		case policy.ProxyConnected:
			events = append(events, tenancy.ProxyConnected{Proxy: e.Proxy, Zone: e.Zone})
		case policy.ProxyDisconnected:
			events = append(events, tenancy.ProxyDisconnected{Proxy: e.Proxy})
		case policy.UsageReport:
			events = append(
				events,
				tenancy.UsageReport{Proxy: e.Proxy, Product: e.Product, Txns: e.Txns, Failed: e.Failed, Period: e.Period},
			)
		case policy.BackendReport:
			events = append(
				events,
				tenancy.BackendReport{Backend: e.Backend, Attempts: e.Attempts, Failed: e.Failed, Latency: e.Latency},
			)
		}
	}
	if listed {
		events = append(events, tenancy.ListUpdate{Backends: d.fleet()})
	}
	for _, o := range d.tenancy.Step(d.now, events) {
		switch o := o.(type) {
		case tenancy.Note:
			if o.Warn {
				d.log.Warn(o.Text)
			} else {
				d.log.Info(o.Text)
			}
		case policy.ProxyRestricted:
			d.events = append(d.events, o)
		}
	}
}

// onTenancy notes a change of tenants for the next step. The first one starts tenancy, which is told how things stand.
func (d *Loop) onTenancy(change tenancy.Event) {
	if d.tenancy == nil {
		d.tenancy = tenancy.New(len(d.proxies))
		d.tenancyEvents = append(d.tenancyEvents, tenancy.ListUpdate{Backends: d.fleet()})
		for i := range d.proxies {
			if p := &d.proxies[i]; p.stream != nil {
				d.tenancyEvents = append(d.tenancyEvents, tenancy.ProxyConnected{Proxy: i, Zone: p.zone})
			}
		}
	}
	d.tenancyEvents = append(d.tenancyEvents, change)
}
