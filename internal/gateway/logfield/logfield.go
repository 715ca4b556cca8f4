// Package logfield defines the field names in the log lines of the gateway's programs. docs/operate/gateway.md lists
// these lines.
package logfield

// Field names.
const (
	Active          = "active"   // this node is the assigner
	EvacuationBegin = "begin"    // true if an evacuation begins, false if it finishes
	Changing        = "changing" // a change of voters is in progress
	Complete        = "complete" // the disk has lost no record as far as known
	Disks           = "disks"    // number of connected disks from the first start of the cluster
	Duration        = "duration"
	Endpoints       = "endpoints" // number of known endpoints
	Epoch           = "epoch"     // epoch number
	Error           = "err"
	FoundingID      = "founding_id" // cluster ID
	Fresh           = "fresh"       // the disk was empty
	Incarnation     = "incarnation" // of the process at the other end of a connection, in hexadecimal
	LostData        = "lost_data"   // the disk has lost records that had been synced
	Needed          = "needed"      // number of Disks needed to decide the first epoch
	Node            = "node"        // name of a control-plane node
	NotHandedOver   = "open"        // state that was not handed over at shutdown
	Peer            = "peer"        // name of the node at the other end of a connection
	Record          = "record"      // name of a record on the disk
	Records         = "records"     // number of records on the disk
	Register        = "register"    // name of a register
	SentWithin      = "sent_within" // upper bound of the time since a call was sent
	Service         = "service"     // name of a service
	Setting         = "setting"     // of a configuration, with its key
	SyncedFrom      = "synced_from" // number of voters whose state was read
	Term            = "term"        // of the assigner
	Torn            = "torn"        // the file on the disk ended in an incomplete entry
	Version         = "version"     // version of a configuration or of a register's value
	Zone            = "zone"        // name of a zone
	Voters          = "voters"      // names of the voters
)
