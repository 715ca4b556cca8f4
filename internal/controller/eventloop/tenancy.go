package eventloop

import (
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

// CellsQuery requests the state of tenants and their backends. Reply must be buffered, since the loop must not block.
type CellsQuery struct{ Reply chan<- tenancy.View }

// FleetQuery requests the list of backends as tenancy sees it. Reply must be buffered.
type FleetQuery struct{ Reply chan<- []tenancy.Backend }

func (l *Loop) tenancyView() tenancy.View {
	if l.tenancy == nil {
		return tenancy.View{}
	}
	return l.tenancy.View()
}

// fleet returns the listed backends. Unless removals are honored, it includes backends that were removed from the list
// while they were ready, so that a list emptied by mistake does not end the confinement of tenants.
func (l *Loop) fleet() (all []tenancy.Backend) {
	for at, isListed := range l.listed {
		e := l.lastEntries[at]
		if isListed || !l.honorRemovals && l.backends[at] != "" && e.Status == policy.Ready {
			all = append(all, tenancy.Backend{Index: at, ID: l.backends[at], Zone: e.Zone, Kind: e.Kind, Status: e.Status,
				Weight: e.Weight, StartedAt: e.StartedAt})
		}
	}
	return all
}

// stepTenancy runs the tenancy step. It runs before the policy, which sees the resulting restrictions in the same step.
func (l *Loop) stepTenancy() {
	events := l.tenancyEvents
	l.tenancyEvents = nil
	listChanged := false
	for _, e := range l.events {
		switch e := e.(type) {
		case policy.ListUpdate:
			listChanged = listChanged || e.Kind != policy.ListFailed
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
	if listChanged {
		events = append(events, tenancy.ListUpdate{Backends: l.fleet()})
	}
	for _, o := range l.tenancy.Step(l.now, events) {
		switch o := o.(type) {
		case tenancy.LogMessage:
			if o.Warn {
				l.log.Warn(o.Text)
			} else {
				l.log.Info(o.Text)
			}
		case policy.ProxyRestricted:
			l.events = append(l.events, o)
		}
	}
}

// onTenancy queues a tenancy command for the next step. The first one creates tenancy, with the current fleet and
// proxies.
func (l *Loop) onTenancy(change tenancy.Event) {
	if l.tenancy == nil {
		l.tenancy = tenancy.New(len(l.proxies))
		l.tenancyEvents = append(l.tenancyEvents, tenancy.ListUpdate{Backends: l.fleet()})
		for i := range l.proxies {
			if p := &l.proxies[i]; p.stream != nil {
				l.tenancyEvents = append(l.tenancyEvents, tenancy.ProxyConnected{Proxy: i, Zone: p.zone})
			}
		}
	}
	l.tenancyEvents = append(l.tenancyEvents, change)
}
