package policy

// Time is a moment or a span in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// LevelKind says what a level is at this deployment.
type LevelKind uint8

// Kinds of level.
const (
	LevelRate LevelKind = iota
	LevelShare
	LevelNone
)

// Gauge is one value of a load report.
type Gauge uint8

// Gauges that a report may hold; GaugeOther is read past.
const (
	GaugeOther Gauge = iota
	GaugeHeld
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
	Products     []Product
	Zones        int
	Proxies      int
	Asked        bool
	Probes       bool
	Gauges       []Gauge
	Levels       LevelKind
	Slices       int
	GoneBinds    bool
	Cold         Time
	ColdCapacity float64
	ColdMultiple float64 // of its capacity, that pushes a cold backend over
	ConnsLeast   float64 // connections that the smallest backends take
	LinesPerS    float64
	LinesMost    float64
	LinesHead    float64
	MessagesMost int
	MessagesOver Time
	FirstTick    Time // from the start; 0 is a whole one. Controllers that start together do not act together then
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
	Up                  Time
	Weight              float64
}

// Listed brings the list or changes of it.
type Listed struct {
	Kind    ListKind
	Entries []Entry
}

// Dropped says that a backend is gone for good and stands in no table: its index may mean another one from
// the next list on.
type Dropped struct{ Backend int }

// Woken is the answer to a Wake.
type Woken struct{ Name uint32 }

// Probed is the answer to a Probe.
type Probed struct {
	Backend int
	Load    []float64
}

// Joined says that a proxy's stream is up.
type Joined struct {
	Proxy, Zone int
	Rate        float64
	Brings      bool // shut-outs of another controller, to be settled with the first line for each backend
}

// Allowed confines a proxy to some backends, until the next one: what is open elsewhere it is given only where
// none of these is. Most is what it may let in of all products together, txns/s, 0 for no bound of its own; Still
// says that it may make no further tries. One that was never told is free.
type Allowed struct {
	Proxy    int
	Confined bool
	Backends []int
	Most     float64
	Still    bool
}

// Left says that a proxy's stream broke.
type Left struct{ Proxy int }

// Heard sums what proxies met at a backend.
type Heard struct {
	Backend       int
	Tries, Voided float64
	Took          Time
}

// Told sums what the proxies of other controllers met at a backend; Age is how old that is beside what is heard now.
type Told struct {
	Heard
	Age Time
}

// Elsewhere says what comes to the proxies of other controllers: txns/s by product and zone.
type Elsewhere struct{ Uses [][]float64 }

// Used sums the txns of a product that came to a proxy.
type Used struct {
	Proxy, Product int
	Txns, Voided   float64
	Counting       Time
}

// Fenced answers a Fence from one proxy.
type Fenced struct{ Proxy, Number int }

// Order is one of the structs below; they are carried out in the order given.
type Order any

// Line sets a line of a table; weight 0 takes it out.
type Line struct {
	Table, Backend int
	Weight         float64
}

// Clear empties a table.
type Clear struct{ Table int }

// Use puts a proxy on a table for the products of the mask.
type Use struct {
	Proxy, Table int
	Products     uint16
}

// Withdraw shuts a backend out of all tables, or lets it in again. Bound: proxies that still go by tables which they
// brought along are told with their first table.
type Withdraw struct {
	Backend    int
	Out, Bound bool
}

// Tries says when a proxy tries another backend.
type Tries uint8

// Ways of trying again.
const (
	TryOnce Tries = iota
	TryUnrun
	TryTwice
	TryThrice
)

// Gate sets the level and the further tries of the products of the mask.
type Gate struct {
	Table    int
	Level    float64
	Tries    Tries
	Products uint16
}

// Fence asks every proxy reached by this reply for a Fenced.
type Fence struct {
	Number int
	All    bool
}

// Wake asks for a Woken.
type Wake struct {
	After Time
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

// Follow asks for list changes from now on, or no longer.
type Follow struct{ On bool }

// Reload asks for the whole list once.
type Reload struct{}

// Recalled is a figure of an earlier life of this controller, or of another one: what it was, how long ago, and how
// far it is to be believed, from 0 to 1. What has been heard of at first hand meanwhile holds against it.
type Recalled struct {
	What           Figure
	Backend        int
	Proxy, Product int
	Value          float64
	Age            Time
	Part           float64
}

// Figure is what a Recalled is about.
type Figure uint8

// Figures. The last three are txns/s for a unit of the listed weight that is ready, so that they hold for a
// controller that is joined by other proxies.
const (
	FigureUse    Figure = iota // txns/s of a product that come to a proxy
	FigureRelief               // part of its weight that a backend keeps
	FigureTotal                // 0: unbounded
	FigureKnee
	FigurePace // the most served
)

// Log is a line for people.
type Log struct{ Text string }
