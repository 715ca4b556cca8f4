package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"elmfold/internal/controller"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/peersync"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/statestore"
	"elmfold/internal/controller/warmstart"
)

const (
	confirmInterval = time.Second // between records that the list is still valid
	defaultGrace    = 10 * time.Minute
	healthyUptime   = 30 * time.Second // uptime after which the start does not count as part of a crash loop
	measurementTTL  = time.Minute

	// listConfirmedKey is the key of the record that holds when the list was last valid. No backend has an empty ID.
	listConfirmedKey = ""
)

// factCache implements controller.WarmState. It keeps the list and measurements in a store, and serves them to peers.
type factCache struct {
	name              string
	store             *statestore.Store // nil: nothing is stored
	now               func() time.Time
	startTime         time.Time
	startList         reconcile.List
	hasStartList      bool
	startMeasurements []warmstart.Accepted

	mu            sync.Mutex
	session       *warmstart.Session // decides which offered facts to accept
	members       map[string]reconcile.Member
	revision      int64
	sourceHealthy bool
	lastConfirmed time.Time // when the source last provided or confirmed the list; zero: never
	measurements  map[measurementKey]measurement
}

// measurementKey identifies a measurement.
type measurementKey struct {
	kind warmstart.Kind
	key  string
}

type measurement struct {
	warmstart.Fact
	measuredAt time.Time
}

// OpenWarmState implements controller.OpenWarmState. It blocks until the peers have answered or their timeout expires.
func OpenWarmState(f operatorfile.File, name string, log *logrus.Entry) (controller.WarmState, error) {
	c := &factCache{
		name:         name,
		now:          time.Now,
		members:      map[string]reconcile.Member{},
		measurements: map[measurementKey]measurement{},
	}
	plan := warmstart.DefaultConfig()
	plan.Name, plan.MaxAge = name, defaultGrace
	var offers []warmstart.Event
	if o := f.Store; o != nil {
		plan.MaxAge = o.Grace
		store, records, err := statestore.Open(o.Path, name, int64(o.Limit), log)
		if store == nil && f.Peers == nil {
			return nil, err
		}
		if err != nil {
			log.WithField("reason", "store").Warn(err)
		}
		c.store = store
		offers = append(offers, warmstart.Received{Source: "store", Facts: factsFromRecords(records, name, c.now())})
	}
	startTime := c.now()
	if p := f.Peers; p != nil {
		seed := name + " " + strconv.FormatInt(startTime.UnixNano(), 36)
		for _, result := range peersync.Fetch(
			p.Addresses,
			name,
			seed,
			p.QueryTimeout,
			func(o warmstart.Received) { offers = append(offers, o) },
		) {
			log.WithFields(logrus.Fields{"peer": result.Source, "facts": result.Facts, "error": result.Err}).
				Info("requested facts from a peer")
		}
	}
	c.session, c.startTime = warmstart.New(plan), startTime
	var refused []warmstart.Rejected
	c.startList, refused, c.hasStartList = c.acceptFacts(offers)
	for _, r := range refused {
		log.WithFields(logrus.Fields{"source": r.Source, "reason": r.Reason, "count": r.Count}).Warn("refused facts")
	}
	for _, member := range c.startList.Members {
		c.members[member.ID] = member
	}
	if p := f.Peers; p != nil && p.Listen != "" {
		if _, err := peersync.Listen(p.Listen, c.currentFacts, log); err != nil {
			log.WithField("reason", "peers").Errorf("cannot serve facts to peers: %v", err)
		}
	}
	if c.store != nil {
		go c.maintainStore()
	}
	return c, nil
}

// currentFacts returns the facts for peers. Until this controller's source has provided a list, these are the facts
// that it received at its start, with their age and origin. Afterwards they are its own list and measurements.
func (c *factCache) currentFacts() (facts []warmstart.Fact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastConfirmed.IsZero() {
		c.session.Step(c.now().Sub(c.startTime), nil)
		return c.session.Facts()
	}
	age := time.Duration(0)
	if !c.sourceHealthy {
		age = c.now().Sub(c.lastConfirmed)
	}
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		member := c.members[id]
		note, _ := json.Marshal(member)
		facts = append(
			facts,
			warmstart.Fact{
				Kind:     warmstart.Backend,
				Key:      id,
				State:    member.Phase,
				Note:     string(note),
				Revision: c.revision,
				Age:      age,
				Origin:   c.name,
			},
		)
	}
	for _, key := range slices.SortedFunc(
		maps.Keys(c.measurements),
		func(a, b measurementKey) int { return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key)) },
	) {
		fact := c.measurements[key].Fact
		fact.Age = c.now().Sub(c.measurements[key].measuredAt)
		facts = append(facts, fact)
	}
	return facts
}

// factsFromRecords converts stored records to facts. Facts about backends are at most as old as the last confirmation
// of the list.
func factsFromRecords(records []statestore.Record, name string, now time.Time) (facts []warmstart.Fact) {
	confirmedAt := int64(0)
	for _, r := range records {
		if r.Kind == warmstart.Backend && r.Key == listConfirmedKey {
			confirmedAt = r.At
		}
	}
	for _, r := range records {
		if r.Kind == warmstart.Backend && r.Key == listConfirmedKey {
			continue
		}
		at := r.At
		if r.Kind == warmstart.Backend {
			at = max(at, confirmedAt)
		}
		facts = append(
			facts,
			warmstart.Fact{Kind: r.Kind, Key: r.Key, State: r.State, Value: r.Value, Note: r.Note, Revision: r.Revision,
				Age: time.Duration(now.UnixMilli()-at) * time.Millisecond, Origin: name},
		)
	}
	return facts
}

// acceptFacts passes offers to the session. It returns the list that results from the accepted facts, and adds the
// accepted measurements to startMeasurements. ok is false if no fact about a backend was accepted.
func (c *factCache) acceptFacts(offers []warmstart.Event) (list reconcile.List, refused []warmstart.Rejected, ok bool) {
	list.Complete = true
	for _, o := range c.session.Step(c.now().Sub(c.startTime), offers) {
		switch o := o.(type) {
		case warmstart.Rejected:
			refused = append(refused, o)
		case warmstart.Accepted:
			if o.Kind != warmstart.Backend {
				c.startMeasurements = append(c.startMeasurements, o)
				continue
			}
			var member reconcile.Member
			if json.Unmarshal([]byte(o.Note), &member) != nil {
				continue
			}
			ok, list.Revision = true, max(list.Revision, o.Revision)
			if member.Phase = o.State; member.Phase != reconcile.Deleted {
				list.Members = append(list.Members, member)
			}
		}
	}
	return list, refused, ok
}

// InitialList returns the list accepted at the start, and whether there is one.
func (c *factCache) InitialList() (reconcile.List, bool) { return c.startList, c.hasStartList }

// Update stores the changes of a reconcile.List. Any other message reports that the source failed.
func (c *factCache) Update(message any) {
	list, ok := message.(reconcile.List)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		if c.sourceHealthy {
			c.lastConfirmed = c.now()
		}
		c.sourceHealthy = false
		return
	}
	c.sourceHealthy = true
	c.revision, c.lastConfirmed = list.Revision, c.now()
	at := c.now().UnixMilli()
	var records []statestore.Record
	record := func(member reconcile.Member) {
		note, _ := json.Marshal(member)
		records = append(
			records,
			statestore.Record{
				Kind:     warmstart.Backend,
				Key:      member.ID,
				State:    member.Phase,
				Note:     string(note),
				Revision: list.Revision,
				At:       at,
			},
		)
	}
	listed := map[string]bool{}
	for _, member := range list.Members {
		if member.ID == "" {
			continue
		}
		listed[member.ID] = true
		if previous, exists := c.members[member.ID]; !exists || previous != member {
			record(member)
		}
		if c.members[member.ID] = member; member.Phase == reconcile.Deleted {
			delete(c.members, member.ID)
		}
	}
	for id, member := range c.members {
		if list.Complete && !listed[id] {
			member.Phase = reconcile.Deleted
			record(member)
			delete(c.members, id)
		}
	}
	if c.store != nil {
		c.store.Put(append(records, statestore.Record{Kind: warmstart.Backend, Key: listConfirmedKey, At: at})...)
	}
}

// InitialBeliefs returns the measurements accepted at the start.
func (c *factCache) InitialBeliefs() []warmstart.Accepted { return c.startMeasurements }

// RecordFacts stores measurements of the event loop, and drops expired ones.
func (c *factCache) RecordFacts(facts []warmstart.Fact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var records []statestore.Record
	for _, f := range facts {
		f.Origin = c.name
		measuredAt := now.Add(-f.Age)
		c.measurements[measurementKey{f.Kind, f.Key}] = measurement{f, measuredAt}
		records = append(
			records,
			statestore.Record{Kind: f.Kind, Key: f.Key, Value: f.Value, At: measuredAt.UnixMilli()},
		)
	}
	for key, m := range c.measurements {
		if now.Sub(m.measuredAt) > measurementTTL {
			delete(c.measurements, key)
		}
	}
	if c.store != nil {
		c.store.Put(records...)
	}
}

// maintainStore regularly records that the list is valid while the source is healthy. After healthyUptime it marks the
// start as successful.
func (c *factCache) maintainStore() {
	start := c.now()
	for markedHealthy := false; ; time.Sleep(confirmInterval) {
		c.mu.Lock()
		sourceHealthy := c.sourceHealthy
		c.mu.Unlock()
		if sourceHealthy {
			c.store.Put(statestore.Record{Kind: warmstart.Backend, Key: listConfirmedKey, At: c.now().UnixMilli()})
		}
		if !markedHealthy && c.now().Sub(start) > healthyUptime {
			markedHealthy = c.store.ResetStartCount() == nil
		}
	}
}

func stateCommand(file *string, stdout, stderr io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "show the stored state"}
	type action func(o operatorfile.Store, name string, records []statestore.Record) error
	withRecords := func(do action) func(*cobra.Command, []string) error {
		return func(*cobra.Command, []string) error {
			f, err := readOperatorFile(*file, stderr)
			if err != nil {
				return err
			}
			if f.Store == nil {
				return fmt.Errorf("%s: no section store; add one with a line such as: file /var/lib/elmfold/state", *file)
			}
			name, records, err := statestore.Inspect(f.Store.Path)
			if err != nil {
				_, _ = fmt.Fprintf(stderr, "elmfold: %v\n", err)
				return exitError(exitFailure)
			}
			slices.SortFunc(records, func(a, b statestore.Record) int {
				return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
			})
			return do(*f.Store, name, records)
		}
	}
	c.AddCommand(
		&cobra.Command{Use: "check", Short: "check the integrity of the store", Args: cobra.NoArgs,
			RunE: withRecords(func(o operatorfile.Store, name string, records []statestore.Record) error {
				_, _ = fmt.Fprintf(stdout, "%s: valid; written by %s, %d records\n", o.Path, name, len(records))
				return nil
			})},
		&cobra.Command{Use: "show", Short: "print the stored facts, and which ones a start would accept", Args: cobra.NoArgs,
			RunE: withRecords(func(o operatorfile.Store, name string, records []statestore.Record) error {
				table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
				_, _ = fmt.Fprintln(table, "kind\tkey\tstate\trevision\tage\tat a start")
				for _, f := range factsFromRecords(records, name, time.Now()) {
					verdict := "believed"
					if f.Age > o.Grace {
						verdict = fmt.Sprintf("refused: older than the grace period of %v", o.Grace)
					} else if f.Age < 0 {
						verdict = "refused: timestamp in the future"
					}
					_, _ = fmt.Fprintf(
						table,
						"%v\t%s\t%s\t%d\t%v\t%s\n",
						f.Kind,
						f.Key,
						f.State,
						f.Revision,
						f.Age.Round(time.Second),
						verdict,
					)
				}
				return table.Flush()
			})},
		&cobra.Command{Use: "export", Short: "print all records as JSON, one per line", Args: cobra.NoArgs,
			RunE: withRecords(func(_ operatorfile.Store, _ string, records []statestore.Record) error {
				encoder := json.NewEncoder(stdout)
				for _, r := range records {
					if err := encoder.Encode(r); err != nil {
						return err
					}
				}
				return nil
			})})
	return c
}
