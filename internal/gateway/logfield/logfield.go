// Package logfield has the names of the fields in the log lines of the gateway's programs, so that one thing has
// one name in all of them. docs/operate/gateway.md lists the lines.
package logfield

// Names of fields.
const (
	EvacuationBegin = "begin"       // an evacuation is begun, not finished
	Changing        = "changing"    // a change of voters is under way
	Complete        = "complete"    // nothing that was on the disk is known to be lost
	Disks           = "disks"       // of the first start that are in touch
	Duration        = "duration"    // how long something lasted
	Endpoints       = "endpoints"   // how many endpoints are known
	Epoch           = "epoch"       // number of the epoch
	Error           = "err"         // an error
	FoundingID      = "founding_id" // of a system, drawn when it was founded
	Fresh           = "fresh"       // the disk was empty
	LostData        = "lost_data"   // the disk has lost what had been synced
	Needed          = "needed"      // how many of them decide the first epoch
	Node            = "node"        // name of a control-plane node
	NotHandedOver   = "open"        // what is not handed over yet
	Peer            = "peer"        // name of the node at the other side of a connection
	Record          = "record"      // name of a record on the disk
	Records         = "records"     // how many records the disk holds
	Register        = "register"    // name of a register
	Service         = "service"     // name of a service
	SyncedFrom      = "synced_from" // how many voters were read from
	Torn            = "torn"        // the end of the file on the disk was cut off
	Version         = "version"     // of a configuration, or of a register's value
	Zone            = "zone"        // name of a zone
	Voters          = "voters"      // names of the voters
)
