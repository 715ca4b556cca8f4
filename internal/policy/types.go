package policy

// Time is a point in time or a duration in units of 100 µs.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// LimitKind is the unit of rate limits in a deployment.
type LimitKind uint8

// Kinds of rate limits.
const (
	LimitRate  LimitKind = iota // txns/s
	LimitShare                  // admitted fraction of the traffic, 0 to 1
	LimitNone                   // no rate limits
)

// Gauge identifies one value of a load report.
type Gauge uint8

// Values of a load report. GaugeOther is ignored.
const (
	GaugeOther    Gauge = iota
	GaugeInFlight       // txns in flight
)

// Product is a class of transactions (txns).
type Product struct {
	Revenue   float64 // per txn; products of higher revenue are admitted first
	SLA       Time    // response time target
	OnlyZones []int   // zones whose backends may serve the product; nil: all
	OnlyKinds []int   // kinds of backends that may serve the product; nil: all
	OwnZone   bool    // only backends in the proxy's zone may serve the product
}

// Deployment holds the startup settings that the decisions depend on. A limit of 0 means no limit.
type Deployment struct {
	Products        []Product
	Zones           int
	Proxies         int       // in the whole deployment, over all controllers
	ListOnRequest   bool      // the backend list arrives only after WatchList or ReloadList
	Probes          bool      // backends may be probed
	Gauges          []Gauge   // values of a load report, in order
	Limits          LimitKind // unit of rate limits
	Shards          int       // if not 0, tables belong to shards and are managed by a store
	HonorRemovals   bool      // a backend that is removed from the list must not be used
	WarmupTime      Time      // duration of slow start
	WarmupCapacity  float64   // guaranteed fraction of its capacity at the start of a backend
	WarmupOverload  float64   // multiple of its capacity that crashes a backend in slow start
	MinConns        float64   // connections that the smallest backend accepts
	LinesPerSecond  float64   // throughput of the channel to the proxies; a line is one table entry
	MaxQueuedLines  float64   // lines that may be queued in the channel
	MessageOverhead float64   // lines that a message costs besides its content
	MaxMessages     int       // messages that a proxy may be sent within MessageWindow
	MessageWindow   Time
	FirstTick       Time // delay of the first tick; 0: a whole interval. Staggers controllers that start together
}

// Event is an input of Step. Events are passed in the order of their occurrence.
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

// Status is the state of a listed backend.
type Status uint8

// Statuses of a backend.
const (
	Gone Status = iota // removed from the list
	Ready
	Draining
)

// ListKind says how a list relates to the previous one.
type ListKind uint8

// Kinds of list.
const (
	ListChange ListKind = iota // only changed entries
	ListFull                   // all entries
	ListCached                 // all entries as cached before the start
	ListFailed                 // no entries: the source failed
)

// Entry describes a backend in a list.
type Entry struct {
	Backend, Zone, Kind int
	Status              Status
	StartedAt           Time    // 0: unknown
	Weight              float64 // relative capacity; 0 means 1
}

// ListUpdate carries the backend list or changes to it.
type ListUpdate struct {
	Kind    ListKind
	Entries []Entry
}

// IndexReleased says that a removed backend is in no table any more. Later lists may reuse its index.
type IndexReleased struct{ Backend int }

// TimerFired reports the expiry of a timer set by SetTimer.
type TimerFired struct{ Name uint32 }

// ProbeResult answers a Probe with a value for each of Deployment.Gauges.
type ProbeResult struct {
	Backend int
	Load    []float64
}

// ProxyConnected says that a proxy's stream is established.
type ProxyConnected struct {
	Proxy, Zone   int
	Rate          float64 // assumed txns/s over all products
	HasPeerTables bool    // the proxy uses another controller's tables and withdrawals until they are replaced
}

// ProxyRestricted restricts a proxy to a set of backends until the next such event. The proxy may use others only while
// none of the set is open. Proxies are unrestricted by default.
type ProxyRestricted struct {
	Proxy      int
	Restricted bool
	Backends   []int
	MaxRate    float64 // txns/s that the proxy may admit over all products; 0: unlimited
	NoRetries  bool
}

// ProxyDisconnected says that a proxy's stream was closed.
type ProxyDisconnected struct{ Proxy int }

// BackendReport aggregates the proxies' attempts at a backend.
type BackendReport struct {
	Backend          int
	Attempts, Failed float64
	Latency          Time // mean of successful attempts
}

// RemoteReport aggregates attempts at a backend by the proxies of other controllers.
type RemoteReport struct {
	BackendReport
	Age Time // how much older the report is than those of local proxies
}

// RemoteUsage is the demand at the proxies of other controllers, in txns/s by product and zone.
type RemoteUsage struct{ Rates [][]float64 }

// UsageReport counts the txns of a product that arrived at a proxy within Period.
type UsageReport struct {
	Proxy, Product int
	Txns, Failed   float64
	Period         Time
}

// MarkerAcked says that a proxy has received everything up to a Marker.
type MarkerAcked struct{ Proxy, Number int }

// Order is an output of Step. Orders are executed in sequence.
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

// SetWeight sets a backend's weight in a table; 0 removes the backend.
type SetWeight struct {
	Table, Backend int
	Weight         float64
}

// ClearTable removes all backends from a table.
type ClearTable struct{ Table int }

// AssignTable makes a proxy use a table for the products in the bit mask.
type AssignTable struct {
	Proxy, Table int
	Products     uint16
}

// Withdraw excludes a backend from all tables, or readmits it.
type Withdraw struct {
	Backend   int
	Withdrawn bool
	Deferred  bool // for proxies on a peer's tables, delayed until their first table from this controller
}

// RetryMode says when a proxy may retry at another backend.
type RetryMode uint8

// Retry modes.
const (
	NoRetry         RetryMode = iota
	RetryUnexecuted           // only if the first attempt was provably not executed
	RetryOnce
	RetryTwice
)

// Admission sets the rate limit and the retry mode of the products in the bit mask.
type Admission struct {
	Table     int
	RateLimit float64 // in the unit given by Deployment.Limits
	Retries   RetryMode
	Products  uint16
}

// Marker requests a MarkerAcked from every proxy that is sent orders in this step.
type Marker struct {
	Number int
	All    bool // from all proxies
}

// SetTimer requests a TimerFired after a delay.
type SetTimer struct {
	Delay Time
	Name  uint32
}

// Probe requests a backend's load.
type Probe struct{ Backend int }

// PeerMessage is a message to one other controller or to all.
type PeerMessage struct {
	To   int
	Data []byte
}

// AllPeers as PeerMessage.To addresses every other controller.
const AllPeers = -1

// WatchList starts or stops the subscription to changes of the backend list.
type WatchList struct{ Enabled bool }

// ReloadList requests the whole backend list once.
type ReloadList struct{}

// RestoredEstimate restores an estimate from before a restart of this controller, or from another controller. Values
// that proxies have reported since take precedence.
type RestoredEstimate struct {
	Kind           EstimateKind
	Backend        int
	Proxy, Product int
	Value          float64
	Age            Time
	Confidence     float64 // 0 to 1
}

// EstimateKind says what a RestoredEstimate estimates.
type EstimateKind uint8

// Kinds of estimates. The last three are txns/s per unit of listed weight that is ready, so that they also apply to a
// controller with other proxies.
const (
	EstimateUsage      EstimateKind = iota // txns/s of a product at a proxy
	EstimateDerating                       // fraction of its weight that a backend keeps
	EstimateTotalLimit                     // 0: no limit
	EstimateKnee                           // rate above which latency or failures rise steeply
	EstimateThroughput                     // highest served rate
)

// Log is a message for the log.
type Log struct{ Text string }
