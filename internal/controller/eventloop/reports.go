package eventloop

import (
	"fmt"
	"slices"
	"time"

	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// onSource registers a stream as that of a collector.
func (l *Loop) onSource(from Stream, m textproto.Source) error {
	if _, joined := l.proxyOf[from]; joined || l.collectors[from] {
		return errAlreadyJoined
	}
	if !slices.Contains(l.names.Zones, m.Zone) {
		from.CloseRefused()
		return errZone
	}
	l.collectors[from] = true
	from.SetPeer("collector " + m.Zone)
	return nil
}

// onAck passes on the acknowledgement of a marker. It ignores markers that are not pending on this stream.
func (l *Loop) onAck(from Stream, m textproto.Ack) error {
	p, err := l.reportingProxy(from, m.Proxy)
	if p == nil {
		return err
	}
	if at := slices.Index(p.pendingMarkers, m.Marker); at >= 0 {
		p.pendingMarkers = slices.Delete(p.pendingMarkers, at, at+1)
		l.events = append(l.events, policy.MarkerAcked{Proxy: m.Proxy, Number: m.Marker})
	}
	return nil
}

func (l *Loop) onUsageReport(from Stream, m textproto.UsageReport) error {
	k := l.product(m.Product)
	if k < 0 {
		return errProduct
	}
	p, err := l.reportingProxy(from, m.Proxy)
	if p == nil {
		return err
	}
	l.events = append(l.events, policy.UsageReport{Proxy: m.Proxy, Product: k, Txns: m.Txns, Failed: m.Failed,
		Period: m.Period})
	if l.observer != nil && m.Period > 0 {
		rate := m.Txns * float64(policy.Second) / float64(m.Period)
		l.observer.RecordUsage(m.Proxy, m.Product, l.names.Zones[p.zone], rate)
	}
	return err
}

func (l *Loop) onBackendReport(from Stream, m textproto.BackendReport) error {
	if _, joined := l.proxyOf[from]; !joined && !l.collectors[from] {
		return errUnknownSender
	}
	if !slices.Contains(l.names.Zones, m.Zone) {
		return errZone
	}
	b, listed := l.index[m.Backend]
	if !listed {
		return errBackend
	}
	l.events = append(l.events, backendReport(b, m))
	if l.observer != nil {
		latency := time.Duration(m.Latency) * time.Second / time.Duration(policy.Second)
		l.observer.RecordAttempts(m.Backend, m.Attempts, m.Failed, latency)
	}
	return nil
}

func backendReport(b int, m textproto.BackendReport) policy.BackendReport {
	return policy.BackendReport{Backend: b, Attempts: m.Attempts, Failed: m.Failed, Latency: m.Latency}
}

func (l *Loop) onRemoteSums(m RemoteSums) {
	for _, r := range m.Reports {
		if b, listed := l.index[r.Backend]; listed { // other controllers may have a different list
			l.events = append(l.events, policy.RemoteReport{BackendReport: backendReport(b, r), Age: m.Age})
		}
	}
	uses := make([][]float64, l.products)
	for k := range uses {
		uses[k] = make([]float64, len(l.names.Zones))
	}
	for _, u := range m.Usage {
		if k, z := l.product(u.Product), slices.Index(l.names.Zones, u.Zone); k >= 0 && z >= 0 {
			uses[k][z] += u.Txns
		}
	}
	l.events = append(l.events, policy.RemoteUsage{Rates: uses})
}

// product returns the index of a product, or -1.
func (l *Loop) product(name string) int { return slices.Index(l.names.Products, name) }

// reportingProxy returns the connected proxy that a report is about. It returns nil without an error if the report is
// to be ignored, such as one from a replaced stream.
func (l *Loop) reportingProxy(from Stream, at int) (*proxy, error) {
	if at >= len(l.proxies) {
		return nil, errProxy
	}
	p := &l.proxies[at]
	if own, ok := l.proxyOf[from]; ok {
		if own != at || p.stream != from {
			return nil, nil
		}
	} else if !l.collectors[from] {
		return nil, errUnknownSender
	}
	if p.stream == nil {
		return nil, nil
	}
	return p, nil
}

// disconnect clears the state of a proxy whose stream has ended.
func (l *Loop) disconnect(at int) {
	l.removeUser(at)
	l.proxies[at] = proxy{}
	l.events = append(l.events, policy.ProxyDisconnected{Proxy: at})
	if l.observer != nil {
		l.observer.RemoveProxy(at)
	}
}

// onClosed removes a stream. It disconnects the proxy unless a newer stream has replaced this one.
func (l *Loop) onClosed(from Stream) {
	if at, ok := l.proxyOf[from]; ok && l.proxies[at].stream == from {
		l.disconnect(at)
	}
	delete(l.proxyOf, from)
	delete(l.collectors, from)
}

// onSubscribe connects a proxy. It rejects a stream that is older than the proxy's current one.
func (l *Loop) onSubscribe(from Stream, request textproto.Subscribe) error {
	zone := slices.Index(l.names.Zones, request.Zone)
	switch _, joined := l.proxyOf[from]; {
	case joined || l.collectors[from]:
		return errAlreadyJoined
	case request.Proxy >= len(l.proxies):
		from.CloseRefused()
		return errProxy
	case zone < 0:
		from.CloseRefused()
		return errZone
	}
	p := &l.proxies[request.Proxy]
	l.proxyOf[from] = request.Proxy
	if old := p.stream; old != nil {
		// The newer of two streams wins, even if its subscription is read first.
		if from.Sequence() < old.Sequence() {
			from.CloseReplaced()
			return nil
		}
		l.disconnect(request.Proxy)
		old.CloseReplaced()
	}
	from.SetPeer(fmt.Sprint("proxy ", request.Proxy))
	*p = proxy{stream: from, zone: zone, tables: slices.Repeat([]int{none}, l.products), initial: usabilityUnknown}
	if request.Fresh {
		p.initial = usable // a fresh proxy has no withdrawals
	}
	l.events = append(l.events, policy.ProxyConnected{Proxy: request.Proxy, Zone: zone, Rate: request.Rate,
		HasPeerTables: !request.Fresh})
	return nil
}
