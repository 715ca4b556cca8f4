package reconcile

import "time"

// Time is the time elapsed since an arbitrary fixed moment. It never decreases.
type Time = time.Duration

// Config configures a Reconciler. Unless a comment says otherwise, a duration of 0 disables the feature.
type Config struct {
	Seed              string // of the random numbers, such as the controller's name and start time
	Prefix            string // keys are Prefix/ID
	Endpoints         int    // number of endpoints, at least 1; orders refer to them by index
	WatchSendsChanges bool   // a watch delivers the changes themselves, not only that there are some
	SupportsCheck     bool   // the registry can answer a Check

	PageSize     int // entries per page
	MaxPageSize  int // the page size may grow so far if compaction overtakes a read
	MaxValueSize int // bytes
	MaxKeys      int // a larger list is rejected

	ProgressInterval   Time // without a message before progress is requested
	WatchTimeout       Time // without a message before a watch is abandoned
	ResponseTimeout    Time // for any other response
	AuditInterval      Time // between two checks of the list during a watch
	MinBackoff         Time // after a first failure
	MaxBackoff         Time // while the registry is unreachable
	MaxRejectedBackoff Time // while the registry rejects the controller
	ReloadJitter       Time // spreads the reads of controllers that need the whole list at the same time
	MinReloadInterval  Time // between the starts of two reads of the whole list

	HistoryHold        Time    // how long a known drain or removal overrides a list of another history
	TombstoneRetention Time    // of a removed backend
	MaxTombstones      int     // the oldest ones are dropped beyond that
	ShrinkWarnRatio    float64 // fraction of the backends whose removal at once is logged
}

// DefaultConfig returns the settings that an operator may leave out.
func DefaultConfig() Config {
	return Config{
		Endpoints:          1,
		PageSize:           500,
		MaxPageSize:        16000,
		MaxValueSize:       64 << 10,
		MaxKeys:            200000,
		ProgressInterval:   700 * time.Millisecond,
		WatchTimeout:       1900 * time.Millisecond,
		ResponseTimeout:    2 * time.Second,
		AuditInterval:      time.Minute,
		MinBackoff:         50 * time.Millisecond,
		MaxBackoff:         800 * time.Millisecond,
		MaxRejectedBackoff: 30 * time.Second,
		ReloadJitter:       700 * time.Millisecond,
		MinReloadInterval:  250 * time.Millisecond,
		HistoryHold:        30 * time.Second,
		TombstoneRetention: time.Hour,
		MaxTombstones:      20000,
		ShrinkWarnRatio:    0.5,
	}
}
