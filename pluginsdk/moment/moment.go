// Package moment defines the data that the controller and its plug-ins exchange. Both sides import it.
// docs/plugins.md describes the interface.
package moment

// Version is the version of the interface. Each Moment carries it.
const Version = 1

// Kinds of proposals.
const (
	Allow = "allow" // restricts the transactions of a tenant to Backends
	Cap   = "cap"   // limits the transactions/s of a tenant to Figure
	Shed  = "shed"  // admits only the share Figure, over 0 and at most 1, of a tenant's transactions
)

// Moment is the input of a plug-in: the state of the system at one time.
type Moment struct {
	Version  int       `cbor:"1,keyasint"`
	Now      int64     `cbor:"2,keyasint"` // ms since an arbitrary time
	Seed     uint64    `cbor:"3,keyasint"` // for random numbers; differs between moments
	Revision int64     `cbor:"4,keyasint"` // of the list of backends
	Backends []Backend `cbor:"5,keyasint"`
	Tenants  []Tenant  `cbor:"6,keyasint"`
	Products []string  `cbor:"7,keyasint"`
}

// Backend is a backend with its current state.
type Backend struct {
	ID     string  `cbor:"1,keyasint"`
	Zone   string  `cbor:"2,keyasint"`
	Kind   string  `cbor:"3,keyasint,omitempty"`
	Drains bool    `cbor:"4,keyasint,omitempty"`
	Weight float64 `cbor:"5,keyasint"`
	Relief float64 `cbor:"6,keyasint"` // factor of Weight; below 1 while the backend is derated
	Ramp   float64 `cbor:"7,keyasint"` // factor of Weight; below 1 during slow start
}

// Tenant is a tenant for which a plug-in may make proposals.
type Tenant struct {
	Name  string    `cbor:"1,keyasint"`
	Rates []float64 `cbor:"2,keyasint"` // demand in transactions/s, by index in Products
	Cell  string    `cbor:"3,keyasint,omitempty"`

	Proxies int      `cbor:"4,keyasint,omitempty"`
	Zones   []string `cbor:"5,keyasint,omitempty"` // zones of its proxies
}

// Proposal is a change that a plug-in proposes for one tenant.
type Proposal struct {
	Kind     string   `cbor:"1,keyasint"`
	Tenant   string   `cbor:"2,keyasint"`
	Backends []string `cbor:"3,keyasint,omitempty"` // IDs
	Figure   float64  `cbor:"4,keyasint,omitempty"` // meaning depends on Kind
}

// Answer is the output of a plug-in for one Moment. It replaces the proposals of earlier answers.
type Answer struct {
	Proposals []Proposal `cbor:"1,keyasint"`
}
