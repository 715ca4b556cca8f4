package reconcile

// Event is one of the event types below. Attempt is the number from the order that the event answers. Events of earlier
// attempts are ignored.
type Event any

// KeyValue is a key of the registry. A deletion has Deleted set and no value.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64 // revision of the last change
	Deleted     bool
}

// Page is a part of the whole list at one revision.
type Page struct {
	Attempt   int
	ClusterID uint64 // identifies the cluster that numbers the revisions; 0 if unknown
	Revision  int64
	Entries   []KeyValue
	More      bool // there are entries after the last key
}

// CheckResult answers a Check.
type CheckResult struct {
	Attempt   int
	ClusterID uint64
	Revision  int64    // current revision of the registry
	Count     int      // keys at the revision that was checked
	Last      KeyValue // the key that had changed last at the revision that was checked
}

// WatchOpened reports that a watch is established.
type WatchOpened struct {
	Attempt   int
	ClusterID uint64
	Revision  int64 // current revision of the registry
}

// Changes delivers changes in the order of their revisions.
type Changes struct {
	Attempt   int
	ClusterID uint64
	Entries   []KeyValue
	Partial   bool // further changes of the last revision follow
}

// Progress reports that a watch has delivered every change up to a revision. If the watch delivers no changes, it
// reports the revision of the list.
type Progress struct {
	Attempt   int
	ClusterID uint64
	Revision  int64
}

// Compacted reports that the requested revision is compacted.
type Compacted struct {
	Attempt        int
	OldestRevision int64 // the oldest one that is available
	ForCheck       bool  // answers a Check
}

// PageTooLarge reports that a page exceeds the size limit of a response.
type PageTooLarge struct{ Attempt int }

// AttemptFailed reports that an attempt ended.
type AttemptFailed struct {
	Attempt int
	Reason  FailureReason
	Err     error
}

// ReloadRequested requests a read of the whole list.
type ReloadRequested struct{}

// FailureReason is the reason why an attempt ended.
type FailureReason uint8

// Reasons. From BadCredentials on, the registry was reached and rejected the controller.
const (
	ConnectionLost      FailureReason = iota // the connection was refused or broke
	TimedOut                                 // no response in time
	InvalidResponse                          // a response that violates the protocol
	BadCredentials                           // wrong user or password
	InvalidToken                             // an expired or unknown token
	Forbidden                                // no permission to read the prefix
	CertificateRejected                      // one side rejects the other's certificate
)

func (w FailureReason) String() string {
	return [...]string{"lost", "silent", "odd", "password", "token", "forbidden", "certificate"}[w]
}

// Order is one of the order types below. Orders are executed in sequence. An order with a new Attempt cancels all
// earlier attempts.
type Order any

// PublishList passes changes or the whole list to the event loop.
type PublishList struct{ List }

// ReadPage requests a page of the list.
type ReadPage struct {
	Attempt, Endpoint, Limit int
	AfterKey                 string // the page starts after this key
	Revision                 int64  // 0 requests the current one
}

// Check requests a CheckResult for the list at a revision. During a watch, it has the Attempt of the watch.
type Check struct {
	Attempt, Endpoint int
	Revision          int64
}

// Watch requests all changes after a revision.
type Watch struct {
	Attempt, Endpoint int
	AfterRevision     int64
	Immediate         bool // requests a first Progress at once from a watch that delivers no changes
}

// RequestProgress requests a Progress from a watch.
type RequestProgress struct{ Attempt int }

// Cancel ends an attempt and closes its connection.
type Cancel struct{ Attempt int }

// PublishFailure tells the event loop that the source failed. It is sent once per outage.
type PublishFailure struct{}

// LogEntry is a log line.
type LogEntry struct {
	Warn     bool
	Text     string
	Key      string // empty if the line is not about a key
	Reason   string
	Endpoint int // -1 for none
	Revision int64
	Count    int
}
