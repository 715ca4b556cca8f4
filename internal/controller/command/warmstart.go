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
	confirmInterval  = time.Second // while the source answers, the list is known to hold
	defaultGrace     = 10 * time.Minute
	healthyUptime    = 30 * time.Second // that a program must run not to be in a crash loop
	listConfirmedKey = ""               // no backend has an empty id
	measurementTTL   = time.Minute      // a figure is worth nothing after that
)

// factCache keeps the list in a store, and tells it to peers.
type factCache struct {
	name              string
	store             *statestore.Store // nil: nothing is kept
	now               func() time.Time
	startTime         time.Time
	startList         reconcile.List
	hasStartList      bool
	startMeasurements []warmstart.Believe // what else is believed

	mu            sync.Mutex
	session       *warmstart.Session
	members       map[string]reconcile.Member
	revision      int64
	sourceHealthy bool                           // the source answers
	lastConfirmed time.Time                      // ... when it did last; zero: not yet
	measurements  map[measurementKey]measurement // of the decisions
}

// OpenWarmState is the controller.OpenWarmState of this program. It takes as long as the peers are given to answer.
func OpenWarmState(f operatorfile.File, name string, log *logrus.Entry) (controller.WarmState, error) {
	m := &factCache{name: name, now: time.Now, members: map[string]reconcile.Member{}, measurements: map[measurementKey]measurement{}}
	plan := warmstart.Usual()
	plan.Name, plan.Grace = name, defaultGrace
	var events []warmstart.Event
	if o := f.Store; o != nil {
		plan.Grace = o.Grace
		s, records, err := statestore.Open(o.Path, name, int64(o.Limit), log)
		if s == nil && f.Peers == nil {
			return nil, err
		}
		if err != nil {
			log.WithField("reason", "store").Warn(err)
		}
		m.store = s
		events = append(events, warmstart.Offered{Source: "store", Facts: factsFromRecords(records, name, m.now())})
	}
	began := m.now()
	if p := f.Peers; p != nil {
		seed := name + " " + strconv.FormatInt(began.UnixNano(), 36)
		for _, a := range peersync.Fetch(
			p.Addresses,
			name,
			seed,
			p.QueryTimeout,
			func(o warmstart.Offered) { events = append(events, o) },
		) {
			log.WithFields(logrus.Fields{"peer": a.Source, "facts": a.Facts, "error": a.Err}).Info("a peer was asked")
		}
	}
	m.session, m.startTime = warmstart.New(plan), began
	var refused []warmstart.Refuse
	m.startList, refused, m.hasStartList = m.acceptFacts(events)
	for _, r := range refused {
		log.WithFields(logrus.Fields{"source": r.Source, "reason": r.Reason, "count": r.Count}).Warn("facts are refused")
	}
	for _, x := range m.startList.Members {
		m.members[x.ID] = x
	}
	if p := f.Peers; p != nil && p.Listen != "" {
		if _, err := peersync.Listen(p.Listen, m.currentFacts, log); err != nil {
			log.WithField("reason", "peers").Errorf("nothing is told to peers: %v", err)
		}
	}
	if m.store != nil {
		go m.maintainStore()
	}
	return m, nil
}

// currentFacts is what a peer may know: the list at first hand while our source answers; until it has, what we were told
// ourselves, at its age and by whom.
func (m *factCache) currentFacts() (all []warmstart.Fact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastConfirmed.IsZero() {
		m.session.Step(m.now().Sub(m.startTime), nil)
		return m.session.Facts()
	}
	age := time.Duration(0)
	if !m.sourceHealthy {
		age = m.now().Sub(m.lastConfirmed)
	}
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		x := m.members[id]
		note, _ := json.Marshal(x)
		all = append(
			all,
			warmstart.Fact{
				Kind:     warmstart.Backend,
				Key:      id,
				State:    x.Phase,
				Note:     string(note),
				Revision: m.revision,
				Age:      age,
				Origin:   m.name,
			},
		)
	}
	for _, at := range slices.SortedFunc(
		maps.Keys(m.measurements),
		func(a, b measurementKey) int { return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key)) },
	) {
		f := m.measurements[at].Fact
		f.Age = m.now().Sub(m.measurements[at].measuredAt)
		all = append(all, f)
	}
	return all
}

// factsFromRecords are those of records at a moment. The list as a whole was known to hold when it was last seen.
func factsFromRecords(records []statestore.Record, name string, now time.Time) (all []warmstart.Fact) {
	seen := int64(0)
	for _, r := range records {
		if r.Kind == warmstart.Backend && r.Key == listConfirmedKey {
			seen = r.At
		}
	}
	for _, r := range records {
		if r.Kind == warmstart.Backend && r.Key == listConfirmedKey {
			continue
		}
		at := r.At
		if r.Kind == warmstart.Backend {
			at = max(at, seen)
		}
		all = append(
			all,
			warmstart.Fact{Kind: r.Kind, Key: r.Key, State: r.State, Value: r.Value, Note: r.Note, Revision: r.Revision,
				Age: time.Duration(now.UnixMilli()-at) * time.Millisecond, Origin: name},
		)
	}
	return all
}

// acceptFacts is the list that what was offered gives.
func (m *factCache) acceptFacts(events []warmstart.Event) (l reconcile.List, refused []warmstart.Refuse, ok bool) {
	l.Complete = true
	for _, o := range m.session.Step(m.now().Sub(m.startTime), events) {
		switch o := o.(type) {
		case warmstart.Refuse:
			refused = append(refused, o)
		case warmstart.Believe:
			var x reconcile.Member
			if o.Kind != warmstart.Backend {
				m.startMeasurements = append(m.startMeasurements, o)
				continue
			}
			if json.Unmarshal([]byte(o.Note), &x) != nil {
				continue
			}
			ok, l.Revision = true, max(l.Revision, o.Revision)
			if x.Phase = o.State; x.Phase != reconcile.Deleted {
				l.Members = append(l.Members, x)
			}
		}
	}
	return l, refused, ok
}

// InitialList is what the store held at the start.
func (m *factCache) InitialList() (reconcile.List, bool) { return m.startList, m.hasStartList }

// Update hands on what has changed.
func (m *factCache) Update(said any) {
	l, ok := said.(reconcile.List)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		if m.sourceHealthy {
			m.lastConfirmed = m.now()
		}
		m.sourceHealthy = false
		return
	}
	m.sourceHealthy = true
	m.revision, m.lastConfirmed = l.Revision, m.now()
	at := m.now().UnixMilli()
	var records []statestore.Record
	record := func(x reconcile.Member) {
		note, _ := json.Marshal(x)
		records = append(
			records,
			statestore.Record{
				Kind:     warmstart.Backend,
				Key:      x.ID,
				State:    x.Phase,
				Note:     string(note),
				Revision: l.Revision,
				At:       at,
			},
		)
	}
	named := map[string]bool{}
	for _, x := range l.Members {
		if x.ID == "" {
			continue
		}
		named[x.ID] = true
		if was, there := m.members[x.ID]; !there || was != x {
			record(x)
		}
		if m.members[x.ID] = x; x.Phase == reconcile.Deleted {
			delete(m.members, x.ID)
		}
	}
	for id, x := range m.members {
		if l.Complete && !named[id] {
			x.Phase = reconcile.Deleted
			record(x)
			delete(m.members, id)
		}
	}
	if m.store != nil {
		m.store.Put(append(records, statestore.Record{Kind: warmstart.Backend, Key: listConfirmedKey, At: at})...)
	}
}

// measurementKey names a figure, known is one with the moment at which it was true.
type measurementKey struct {
	kind warmstart.Kind
	key  string
}

type measurement struct {
	warmstart.Fact
	measuredAt time.Time
}

// InitialBeliefs is what was believed at the start of use, relief and totals.
func (m *factCache) InitialBeliefs() []warmstart.Believe { return m.startMeasurements }

// RecordFacts keeps figures of the decisions, for a start after this one and for peers.
func (m *factCache) RecordFacts(facts []warmstart.Fact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var records []statestore.Record
	for _, f := range facts {
		f.Origin = m.name
		m.measurements[measurementKey{f.Kind, f.Key}] = measurement{f, now.Add(-f.Age)}
		records = append(
			records,
			statestore.Record{Kind: f.Kind, Key: f.Key, Value: f.Value, At: now.Add(-f.Age).UnixMilli()},
		)
	}
	for at, k := range m.measurements { // proxies and backends come and go for ever
		if now.Sub(k.measuredAt) > measurementTTL {
			delete(m.measurements, at)
		}
	}
	if m.store != nil {
		m.store.Put(records...)
	}
}

// maintainStore notes that the list holds, and after a while that the program does.
func (m *factCache) maintainStore() {
	began := m.now()
	for settled := false; ; time.Sleep(confirmInterval) {
		m.mu.Lock()
		holds := m.sourceHealthy
		m.mu.Unlock()
		if holds {
			m.store.Put(statestore.Record{Kind: warmstart.Backend, Key: listConfirmedKey, At: m.now().UnixMilli()})
		}
		if !settled && m.now().Sub(began) > healthyUptime {
			settled = m.store.Healthy() == nil
		}
	}
}

func stateCommand(file *string, out, errs io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "look at what is kept over crashes"}
	type show func(o operatorfile.Store, name string, records []statestore.Record) error
	look := func(do show) func(*cobra.Command, []string) error {
		return func(*cobra.Command, []string) error {
			f, err := operatorFile(*file, errs)
			if err != nil {
				return err
			}
			if f.Store == nil {
				return fmt.Errorf("%s: no section store; add one with a line such as: file /var/lib/elmfold/state", *file)
			}
			name, records, err := statestore.Look(f.Store.Path)
			if err != nil {
				_, _ = fmt.Fprintf(errs, "elmfold: %v\n", err)
				return exitCode(1)
			}
			slices.SortFunc(records, func(a, b statestore.Record) int {
				return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
			})
			return do(*f.Store, name, records)
		}
	}
	c.AddCommand(
		&cobra.Command{Use: "check", Short: "check that the store is whole", Args: cobra.NoArgs,
			RunE: look(func(o operatorfile.Store, name string, records []statestore.Record) error {
				_, _ = fmt.Fprintf(out, "%s: in order; of %s, %d facts\n", o.Path, name, len(records))
				return nil
			})},
		&cobra.Command{Use: "show", Short: "print what is kept, and what of it a start would believe", Args: cobra.NoArgs,
			RunE: look(func(o operatorfile.Store, name string, records []statestore.Record) error {
				w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
				_, _ = fmt.Fprintln(w, "kind\tkey\tstate\trevision\tage\tat a start")
				for _, f := range factsFromRecords(records, name, time.Now()) {
					use := "believed"
					if f.Age > o.Grace {
						use = fmt.Sprintf("refused: older than the grace of %v", o.Grace)
					} else if f.Age < 0 {
						use = "refused: from the future"
					}
					_, _ = fmt.Fprintf(
						w,
						"%v\t%s\t%s\t%d\t%v\t%s\n",
						f.Kind,
						f.Key,
						f.State,
						f.Revision,
						f.Age.Round(time.Second),
						use,
					)
				}
				return w.Flush()
			})},
		&cobra.Command{Use: "export", Short: "print all facts as JSON, one a line", Args: cobra.NoArgs,
			RunE: look(func(_ operatorfile.Store, _ string, records []statestore.Record) error {
				to := json.NewEncoder(out)
				for _, r := range records {
					if err := to.Encode(r); err != nil {
						return err
					}
				}
				return nil
			})})
	return c
}
