package rpc

// ShardUpdate carries the assignments of shard keys from the assigner to proxies, and the use of keys back.
type ShardUpdate struct {
	ShardTables []ShardTable `cbor:"41,keyasint,omitempty"`
	// ShardTerm is the term of the assigner that sends ShardTables. Tables of a lower term are outdated.
	ShardTerm uint64     `cbor:"42,keyasint,omitempty"`
	KeyUsage  []KeyUsage `cbor:"43,keyasint,omitempty"`
}

// ShardTable has the ranges of a sharded service that changed, or all of them.
type ShardTable struct {
	Service string       `cbor:"1,keyasint"`
	Full    bool         `cbor:"2,keyasint,omitempty"` // Ranges cover all keys
	Ranges  []ShardRange `cbor:"3,keyasint"`
}

// ShardRange is an inclusive range of shard keys.
type ShardRange struct {
	First  uint16 `cbor:"1,keyasint,omitempty"`
	Last   uint16 `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint,omitempty"` // ID of the endpoint that holds the range; empty: none does
	// AvailableIn is the time in ms in which the range is granted at the latest, if Holder is empty; 0: soon.
	AvailableIn uint32 `cbor:"4,keyasint,omitempty"`
}

// KeyUsage has a sample of the keys of a proxy's requests since its last report.
type KeyUsage struct {
	Service string   `cbor:"1,keyasint"`
	Keys    []uint16 `cbor:"2,keyasint"`
	Weight  float64  `cbor:"3,keyasint"` // number of requests that each of Keys stands for
}
