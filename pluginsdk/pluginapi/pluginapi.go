// Package pluginapi is what plug-ins are told and what they answer, for both sides. docs/plugins.md has it in words.
package pluginapi

// Version of the interface. It is told with each moment.
const Version = 1

// Kinds of proposal.
const (
	Allow = "allow" // Backends that a tenant's txns may go to
	Cap   = "cap"   // Figure: txns/s of a tenant, at most
	Shed  = "shed"  // Figure: the part of what a tenant asks for that is let in
)

// Snapshot is what a plug-in is told: all that it may go by.
type Snapshot struct {
	Version  int       `cbor:"1,keyasint"`
	Now      int64     `cbor:"2,keyasint"` // ms, of a clock that begins anywhere
	Seed     uint64    `cbor:"3,keyasint"` // for chance, another one each moment
	Revision int64     `cbor:"4,keyasint"` // of the list
	Backends []Backend `cbor:"5,keyasint"`
	Tenants  []Tenant  `cbor:"6,keyasint"`
	Products []string  `cbor:"7,keyasint"`
}

// Backend is one of the list, with what was met there of late.
type Backend struct {
	ID     string  `cbor:"1,keyasint"`
	Zone   string  `cbor:"2,keyasint"`
	Kind   string  `cbor:"3,keyasint,omitempty"`
	Drains bool    `cbor:"4,keyasint,omitempty"`
	Weight float64 `cbor:"5,keyasint"`
	Relief float64 `cbor:"6,keyasint"` // part of its weight that it keeps
	Ramp   float64 `cbor:"7,keyasint"` // part of its weight that it has by now: below 1 while it is cold
}

// Tenant is one of those that a plug-in may propose for.
type Tenant struct {
	Name  string    `cbor:"1,keyasint"`
	Rates []float64 `cbor:"2,keyasint"` // txns/s by product
	Cell  string    `cbor:"3,keyasint,omitempty"`

	Proxies int      `cbor:"4,keyasint,omitempty"`
	Zones   []string `cbor:"5,keyasint,omitempty"` // in which it has proxies
}

// Proposal is what it wants; kinds are those of hook, by name.
type Proposal struct {
	Kind     string   `cbor:"1,keyasint"`
	Tenant   string   `cbor:"2,keyasint"`
	Backends []string `cbor:"3,keyasint,omitempty"`
	Figure   float64  `cbor:"4,keyasint,omitempty"`
}

// Response is all that it wants now.
type Response struct {
	Proposals []Proposal `cbor:"1,keyasint"`
}
