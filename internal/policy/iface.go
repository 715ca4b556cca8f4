package policy

// Time is a moment or a span in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// LimitKind says what a rate limit is at this deployment.
type LimitKind uint8

// Kinds of rate limits.
const (
	LimitRate  LimitKind = iota // txns/s
	LimitShare                  // part of the traffic that is admitted, 0 to 1
	LimitNone                   // there are none
)

// Gauge is one value of a load report.
type Gauge uint8

// Gauges that a report may have; GaugeOther is ignored.
const (
	GaugeOther    Gauge = iota
	GaugeInFlight       // txns in flight
)

// Product is a class of txns.
type Product struct {
	Revenue   float64 // of a txn: the highest is admitted first
	SLA       Time    // within which a txn is to be answered
	OnlyZones []int   // zones of the backends that may serve it; nil: all
	OnlyKinds []int   // kinds of the backends that may serve it; nil: all
	OwnZone   bool    // only backends in the proxy's zone may serve it
}

// Deployment holds the launch settings that the decisions read. Zero values of limits stand for no limit.
type Deployment struct {
	Products        []Product
	Zones           int
	Proxies         int       // of the whole deployment
	ListOnRequest   bool      // the list of backends comes only on WatchList and ReloadList
	Probes          bool      // backends may be probed
	Gauges          []Gauge   // values of a load report, in their order
	Limits          LimitKind // what a rate limit is
	Shards          int       // not 0: tables are those of shards, which belong to a store
	HonorRemovals   bool      // a backend that the list drops must not be used
	WarmupTime      Time      // how long a backend is in slow start
	WarmupCapacity  float64   // part of its capacity that a backend has from its start
	WarmupOverload  float64   // multiple of its capacity that brings a backend in slow start down
	MinConns        float64   // connections that the smallest backends accept
	LinesPerSecond  float64   // pace of the channel to the proxies
	MaxQueuedLines  float64   // lines that may wait in the channel
	MessageOverhead float64   // lines that a message counts for beside its own
	MaxMessages     int       // messages that a proxy may be sent within MessageWindow
	MessageWindow   Time
	FirstTick       Time // from the start; 0: a whole interval. Controllers that start together must not act together
}

// Event is something that happened, in the order in which it happened.
type Event interface{ isEvent() }

func (ListUpdate) isEvent()        {}
func (IndexReleased) isEvent()     {}
func (TimerFired) isEvent()        {}
func (ProbeResult) isEvent()       {}
func (ProxyConnected) isEvent()    {}
func (ProxyRestricted) isEvent()   {}
func (ProxyDisconnected) isEvent() {}
func (BackendReport) isEvent()     {}
func (RemoteUsage) isEvent()       {}
func (UsageReport) isEvent()       {}
func (MarkerAcked) isEvent()       {}
func (RestoredEstimate) isEvent()  {}

// Status of a backend on the list.
type Status uint8

// Statuses of a backend.
const (
	Gone Status = iota
	Ready
	Draining
)

// ListKind says how a list relates to the one before.
type ListKind uint8

// Kinds of list.
const (
	ListChange ListKind = iota // entries that changed
	ListFull                   // all entries
	ListCached                 // all entries that were known at the start
	ListFailed                 // there is none: the source failed
)

// Entry is a backend as the list shows it.
type Entry struct {
	Backend, Zone, Kind int
	Status              Status
	StartedAt           Time    // 0: not known
	Weight              float64 // relative; 0 stands for 1
}

// ListUpdate brings the list, or changes of it.
type ListUpdate struct {
	Kind    ListKind
	Entries []Entry
}

// IndexReleased says that a backend is gone for good and stands in no table: its index may mean another one from
// the next list on.
type IndexReleased struct{ Backend int }

// TimerFired answers a SetTimer.
type TimerFired struct{ Name uint32 }

// ProbeResult answers a Probe, with a value for each of Deployment.Gauges.
type ProbeResult struct {
	Backend int
	Load    []float64
}

// ProxyConnected says that a proxy's stream is up.
type ProxyConnected struct {
	Proxy, Zone   int
	Rate          float64 // txns/s that it is said to get, of all products
	HasPeerTables bool    // and withdrawals of another controller, to be settled with the first line for each backend
}

// ProxyRestricted confines a proxy to some backends, until the next one: others it is given only where none of these
// is open. A proxy that was never confined is free.
type ProxyRestricted struct {
	Proxy      int
	Restricted bool
	Backends   []int
	MaxRate    float64 // txns/s that it may admit of all products; 0: no limit of its own
	NoRetries  bool
}

// ProxyDisconnected says that a proxy's stream broke.
type ProxyDisconnected struct{ Proxy int }

// BackendReport sums what proxies saw of a backend.
type BackendReport struct {
	Backend          int
	Attempts, Failed float64
	Latency          Time // mean of those that did not fail
}

// RemoteReport sums what the proxies of other controllers saw of a backend.
type RemoteReport struct {
	BackendReport
	Age Time // how much older that is than what the own proxies report now
}

// RemoteUsage is the use of the proxies of other controllers: txns/s by product and zone.
type RemoteUsage struct{ Rates [][]float64 }

// UsageReport sums the txns of a product that arrived at a proxy within Period.
type UsageReport struct {
	Proxy, Product int
	Txns, Failed   float64
	Period         Time
}

// MarkerAcked says that a proxy has received all up to a Marker.
type MarkerAcked struct{ Proxy, Number int }

// Order is something to be done; orders are carried out in the order given.
type Order interface{ isOrder() }

func (SetWeight) isOrder()   {}
func (ClearTable) isOrder()  {}
func (AssignTable) isOrder() {}
func (Withdraw) isOrder()    {}
func (Admission) isOrder()   {}
func (Marker) isOrder()      {}
func (SetTimer) isOrder()    {}
func (Probe) isOrder()       {}
func (PeerMessage) isOrder() {}
func (WatchList) isOrder()   {}
func (ReloadList) isOrder()  {}
func (Log) isOrder()         {}

// SetWeight sets a line of a table; weight 0 takes it out.
type SetWeight struct {
	Table, Backend int
	Weight         float64
}

// ClearTable empties a table.
type ClearTable struct{ Table int }

// AssignTable has a proxy use a table for the products of the mask.
type AssignTable struct {
	Proxy, Table int
	Products     uint16
}

// Withdraw takes a backend out of all tables, or lets it in again.
type Withdraw struct {
	Backend   int
	Withdrawn bool
	Deferred  bool // proxies on tables that they brought learn of it with their first table
}

// RetryMode says when a proxy may try another backend.
type RetryMode uint8

// Modes of retries.
const (
	NoRetry         RetryMode = iota
	RetryUnexecuted           // if the first attempt is known not to have been executed
	RetryOnce
	RetryTwice
)

// Admission sets the rate limit and the retries of the products of the mask.
type Admission struct {
	Table     int
	RateLimit float64 // as Deployment.Limits says
	Retries   RetryMode
	Products  uint16
}

// Marker asks every proxy that gets any order of this step for a MarkerAcked.
type Marker struct {
	Number int
	All    bool // every proxy is asked
}

// SetTimer asks for a TimerFired.
type SetTimer struct {
	Delay Time
	Name  uint32
}

// Probe asks a backend for its load.
type Probe struct{ Backend int }

// PeerMessage is a message to another controller, or to all of them.
type PeerMessage struct {
	To   int
	Data []byte
}

// AllPeers is the Note.To that means every other controller.
const AllPeers = -1

// WatchList asks for changes of the list from now on, or no longer.
type WatchList struct{ Enabled bool }

// ReloadList asks for the whole list once.
type ReloadList struct{}

// RestoredEstimate restores an estimate from before a restart of this controller, or from another controller. Values
// that proxies have reported since take precedence.
type RestoredEstimate struct {
	Kind           EstimateKind
	Backend        int
	Proxy, Product int
	Value          float64
	Age            Time
	Confidence     float64 // how far it is to be believed, 0 to 1
}

// EstimateKind says what a RestoredEstimate is about.
type EstimateKind uint8

// Figures. The last three are txns/s for a unit of the listed weight that is ready, so that they hold for a
// controller that other proxies connect to.
const (
	EstimateUsage      EstimateKind = iota // txns/s of a product that arrive at a proxy
	EstimateDerating                       // part of its weight that a backend keeps
	EstimateTotalLimit                     // 0: unbounded
	EstimateKnee
	EstimateThroughput // the most that was served
)

// Log is a line for people.
type Log struct{ Text string }
