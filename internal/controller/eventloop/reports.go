package eventloop

import (
	"fmt"
	"slices"
	"time"

	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

func (d *Loop) onSource(from Stream, m textproto.Source) error {
	if _, joined := d.proxyOf[from]; joined || d.collectors[from] {
		return errAlreadyJoined
	}
	if !slices.Contains(d.names.Zones, m.Zone) {
		from.CloseRefused()
		return errZone
	}
	d.collectors[from] = true
	from.SetPeer("collector " + m.Zone)
	return nil
}

// onAck takes the answer to a marker: only those that this stream was sent count, each once.
func (d *Loop) onAck(from Stream, m textproto.Ack) error {
	p, err := d.reportingProxy(from, m.Proxy)
	if p == nil {
		return err
	}
	if at := slices.Index(p.pendingMarkers, m.Marker); at >= 0 {
		p.pendingMarkers = slices.Delete(p.pendingMarkers, at, at+1)
		d.events = append(d.events, policy.MarkerAcked{Proxy: m.Proxy, Number: m.Marker})
	}
	return nil
}

func (d *Loop) onUsageReport(from Stream, m textproto.UsageReport) error {
	k := d.product(m.Product)
	if k < 0 {
		return errProduct
	}
	p, err := d.reportingProxy(from, m.Proxy)
	if p == nil {
		return err
	}
	d.events = append(d.events, policy.UsageReport{Proxy: m.Proxy, Product: k, Txns: m.Txns, Failed: m.Failed,
		Period: m.Period})
	if d.observer != nil && m.Period > 0 {
		rate := m.Txns * float64(policy.Second) / float64(m.Period)
		d.observer.RecordUsage(m.Proxy, m.Product, d.names.Zones[p.zone], rate)
	}
	return err
}

func (d *Loop) onBackendReport(from Stream, m textproto.BackendReport) error {
	if _, joined := d.proxyOf[from]; !joined && !d.collectors[from] {
		return errUnknownSender
	}
	if !slices.Contains(d.names.Zones, m.Zone) {
		return errZone
	}
	b, listed := d.index[m.Backend]
	if !listed {
		return errBackend
	}
	d.events = append(d.events, backendReport(b, m))
	if d.observer != nil {
		latency := time.Duration(m.Latency) * time.Second / time.Duration(policy.Second)
		d.observer.RecordAttempts(m.Backend, m.Attempts, m.Failed, latency)
	}
	return nil
}

func backendReport(b int, m textproto.BackendReport) policy.BackendReport {
	return policy.BackendReport{Backend: b, Attempts: m.Attempts, Failed: m.Failed, Latency: m.Latency}
}

func (d *Loop) onRemoteSums(m RemoteSums) {
	for _, r := range m.Reports {
		if b, listed := d.index[r.Backend]; listed { // another controller may know another list
			d.events = append(d.events, policy.RemoteReport{BackendReport: backendReport(b, r), Age: m.Age})
		}
	}
	uses := make([][]float64, d.products)
	for k := range uses {
		uses[k] = make([]float64, len(d.names.Zones))
	}
	for _, u := range m.Usage {
		if k, z := d.product(u.Product), slices.Index(d.names.Zones, u.Zone); k >= 0 && z >= 0 {
			uses[k][z] += u.Txns
		}
	}
	d.events = append(d.events, policy.RemoteUsage{Rates: uses})
}

// product is the index of a product; -1: there is none of that name.
func (d *Loop) product(name string) int { return slices.Index(d.names.Products, name) }

// reportingProxy is the connected proxy that a report is about; nil if the report comes late from a stream that was
// replaced.
func (d *Loop) reportingProxy(from Stream, at int) (*proxy, error) {
	if at >= len(d.proxies) {
		return nil, errProxy
	}
	p := &d.proxies[at]
	if own, ok := d.proxyOf[from]; ok {
		if own != at || p.stream != from {
			return nil, nil
		}
	} else if !d.collectors[from] {
		return nil, errUnknownSender
	}
	if p.stream == nil {
		return nil, nil
	}
	return p, nil
}

func (d *Loop) leave(at int) {
	d.removeUser(at)
	d.proxies[at] = proxy{}
	d.events = append(d.events, policy.ProxyDisconnected{Proxy: at})
	if d.observer != nil {
		d.observer.RemoveProxy(at)
	}
}

// onClosed forgets a stream, and its proxy if it is still the proxy's.
func (d *Loop) onClosed(from Stream) {
	if at, ok := d.proxyOf[from]; ok && d.proxies[at].stream == from {
		d.leave(at)
	}
	delete(d.proxyOf, from)
	delete(d.collectors, from)
}

func (d *Loop) onSubscribe(from Stream, said textproto.Subscribe) error {
	zone := slices.Index(d.names.Zones, said.Zone)
	switch _, again := d.proxyOf[from]; {
	case again || d.collectors[from]:
		return errAlreadyJoined
	case said.Proxy >= len(d.proxies):
		from.CloseRefused()
		return errProxy
	case zone < 0:
		from.CloseRefused()
		return errZone
	}
	p := &d.proxies[said.Proxy]
	d.proxyOf[from] = said.Proxy
	if old := p.stream; old != nil {
		// Of two streams the one that was opened later holds, in whatever order their first lines are read.
		if from.Sequence() < old.Sequence() {
			from.CloseReplaced()
			return nil
		}
		d.leave(said.Proxy)
		old.CloseReplaced()
	}
	from.SetPeer(fmt.Sprint("proxy ", said.Proxy))
	*p = proxy{stream: from, zone: zone, tables: slices.Repeat([]int{none}, d.products), initial: usabilityUnknown}
	if said.Fresh {
		p.initial = usable // nothing was ordered, so nothing is withdrawn
	}
	d.events = append(d.events, policy.ProxyConnected{Proxy: said.Proxy, Zone: zone, Rate: said.Rate,
		HasPeerTables: !said.Fresh})
	return nil
}
