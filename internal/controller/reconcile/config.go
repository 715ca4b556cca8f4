package reconcile

import "time"

// Time is the time elapsed since an arbitrary fixed moment. It never decreases.
type Time = time.Duration

// Config configures a Reconciler.
type Config struct {
	Seed              string // of the random numbers, such as the controller's name and start time
	Prefix            string // keys are Prefix/ID
	Endpoints         int    // number of endpoints, at least 1; orders refer to them by index
	WatchSendsChanges bool   // a watch delivers the changes themselves, not only that there are some
	SupportsCheck     bool   // the registry can answer a Check

	PageSize     int // entries per page
	MaxPageSize  int // limit of the page size, which doubles whenever compaction interrupts a read
	MaxValueSize int // bytes
	MaxKeys      int // a larger list is rejected

	ProgressInterval   time.Duration // progress is requested after this time without a message
	WatchTimeout       time.Duration // a watch is abandoned after this time without a message
	ResponseTimeout    time.Duration // a read or check is abandoned after this time without a response
	AuditInterval      time.Duration // between two checks of the list during a watch; 0: no checks
	MinBackoff         time.Duration // after a first failure
	MaxBackoff         time.Duration // while the registry is unreachable
	MaxRejectedBackoff time.Duration // while the registry rejects the controller
	ReloadJitter       time.Duration // spreads the reads of controllers that need the whole list at the same time
	MinReloadInterval  time.Duration // between the starts of two reads of the whole list

	// RestoredListHold is how long a known drain or removal stays in effect after the registry was restored or
	// replaced, even if the new list says otherwise. 0 means not at all.
	RestoredListHold   time.Duration
	TombstoneRetention time.Duration // of a removed backend
	MaxTombstones      int           // the oldest ones are dropped beyond that
	ShrinkWarnRatio    float64       // fraction of the backends whose removal at once is logged
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
		RestoredListHold:   30 * time.Second,
		TombstoneRetention: time.Hour,
		MaxTombstones:      20000,
		ShrinkWarnRatio:    0.5,
	}
}
