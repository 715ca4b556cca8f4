package policy

// Time is a moment or a span in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// LimitKind says what a level is at this deployment.
type LimitKind uint8

// Kinds of level.
const (
	LimitRate LimitKind = iota
	LimitShare
	LimitNone
)

// Gauge is one value of a load report.
type Gauge uint8

// Gauges that a report may hold; GaugeOther is read past.
const (
	GaugeOther Gauge = iota
	GaugeInFlight
)

// Product is a class of txns.
type Product struct {
	Revenue   float64
	SLA       Time
	OnlyZones []int
	OnlyKinds []int
	OwnZone   bool
}

// Deployment holds the launch settings that the decisions read.
type Deployment struct {
	Products        []Product
	Zones           int
	Proxies         int
	PullsList       bool
	Probes          bool
	Gauges          []Gauge
	Limits          LimitKind
	Shards          int
	RemovalBinds    bool
	WarmupTime      Time
	WarmupCapacity  float64
	WarmupOverload  float64 // of its capacity, that pushes a cold backend over
	MinConns        float64 // connections that the smallest backends take
	LinesPerSecond  float64
	MaxQueuedLines  float64
	MessageOverhead float64
	MaxMessages     int
	MessageWindow   Time
	FirstTick       Time // from the start; 0 is a whole one. Controllers that start together do not act together then
}

// Event is one of the structs below, in the order in which they happened.
type Event any

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
	ListChange ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Entry is a backend as the list shows it.
type Entry struct {
	Backend, Zone, Kind int
	Status              Status
	StartedAt           Time
	Weight              float64
}

// ListUpdate brings the list or changes of it.
type ListUpdate struct {
	Kind    ListKind
	Entries []Entry
}

// IndexReleased says that a backend is gone for good and stands in no table: its index may mean another one from
// the next list on.
type IndexReleased struct{ Backend int }

// TimerFired is the answer to a Wake.
type TimerFired struct{ Name uint32 }

// ProbeResult is the answer to a Probe.
type ProbeResult struct {
	Backend int
	Load    []float64
}

// ProxyConnected says that a proxy's stream is up.
type ProxyConnected struct {
	Proxy, Zone  int
	Rate         float64
	BringsTables bool // shut-outs of another controller, to be settled with the first line for each backend
}

// ProxyConfined confines a proxy to some backends, until the next one: what is open elsewhere it is given only where
// none of these is. Most is what it may let in of all products together, txns/s, 0 for no bound of its own; Still
// says that it may make no further tries. One that was never told is free.
type ProxyConfined struct {
	Proxy     int
	Confined  bool
	Backends  []int
	MaxRate   float64
	NoRetries bool
}

// ProxyDisconnected says that a proxy's stream broke.
type ProxyDisconnected struct{ Proxy int }

// BackendReport sums what proxies met at a backend.
type BackendReport struct {
	Backend          int
	Attempts, Failed float64
	Latency          Time
}

// RemoteReport sums what the proxies of other controllers met at a backend; Age is how old that is beside what is heard now.
type RemoteReport struct {
	BackendReport
	Age Time
}

// RemoteUsage says what comes to the proxies of other controllers: txns/s by product and zone.
type RemoteUsage struct{ Uses [][]float64 }

// UsageReport sums the txns of a product that came to a proxy.
type UsageReport struct {
	Proxy, Product int
	Txns, Failed   float64
	Period         Time
}

// MarkerAcked answers a Fence from one proxy.
type MarkerAcked struct{ Proxy, Number int }

// Order is one of the structs below; they are carried out in the order given.
type Order any

// SetWeight sets a line of a table; weight 0 takes it out.
type SetWeight struct {
	Table, Backend int
	Weight         float64
}

// ClearTable empties a table.
type ClearTable struct{ Table int }

// AssignTable puts a proxy on a table for the products of the mask.
type AssignTable struct {
	Proxy, Table int
	Products     uint16
}

// Withdraw shuts a backend out of all tables, or lets it in again. Bound: proxies that still go by tables which they
// brought along are told with their first table.
type Withdraw struct {
	Backend             int
	Withdrawn, Deferred bool
}

// RetryMode says when a proxy tries another backend.
type RetryMode uint8

// Ways of trying again.
const (
	NoRetry RetryMode = iota
	RetryUnexecuted
	RetryOnce
	RetryTwice
)

// Admission sets the level and the further tries of the products of the mask.
type Admission struct {
	Table     int
	RateLimit float64
	Retries   RetryMode
	Products  uint16
}

// Marker asks every proxy reached by this reply for a Fenced.
type Marker struct {
	Number int
	All    bool
}

// SetTimer asks for a Woken.
type SetTimer struct {
	Delay Time
	Name  uint32
}

// Probe checks a backend.
type Probe struct{ Backend int }

// Note goes to another controller, or to all of them.
type Note struct {
	To   int
	Data []byte
}

// ToAll is the Note.To that means every other controller.
const ToAll = -1

// FollowList asks for list changes from now on, or no longer.
type FollowList struct{ On bool }

// ReloadList asks for the whole list once.
type ReloadList struct{}

// RestoredFigure is a figure of an earlier life of this controller, or of another one: what it was, how long ago, and how
// far it is to be believed, from 0 to 1. What has been heard of at first hand meanwhile holds against it.
type RestoredFigure struct {
	Figure         Figure
	Backend        int
	Proxy, Product int
	Value          float64
	Age            Time
	Confidence     float64
}

// Figure is what a Recalled is about.
type Figure uint8

// Figures. The last three are txns/s for a unit of the listed weight that is ready, so that they hold for a
// controller that is joined by other proxies.
const (
	FigureUse        Figure = iota // txns/s of a product that come to a proxy
	FigureDerating                 // part of its weight that a backend keeps
	FigureTotalLimit               // 0: unbounded
	FigureKnee
	FigureThroughput // the most served
)

// Log is a line for people.
type Log struct{ Text string }
