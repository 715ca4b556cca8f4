// Package controlplane plays the control side from outside: real controllers on loopback that are called as
// operators call them, and killed, stopped, wiped and replaced as machines are. Each story has a system of its own.
package controlplane

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
)

const (
	maxParallel = 8
	maxPlay     = 2 * time.Minute // of one play
	maxNetworks = 240
)

// play is one variant of a story.
type play struct {
	story, variant string
	number         int
	span           time.Duration // about how long it takes: the longest begin first
	seen           bool          // beyond what the pages promise: what is seen is told, and none of it is short
	run            func(r *run) error
}

func (p play) name() string { return p.story + "/" + p.variant }

// run is one play under way.
type run struct {
	play
	ctx     context.Context
	program string
	dir     string
	chance  *rand.Rand
	nextNet func() string
	began   time.Time
	quiet   bool // nobody reads beside what is timed

	systems  []*system
	mu       sync.Mutex
	file     *os.File
	causes   []string
	measures []string
	notes    []string
}

// log adds a line to the play's own journal, beside the logs of its processes.
func (r *run) log(format string, v ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, v...))
}

func (r *run) short(format string, v ...any) {
	text := fmt.Sprintf(format, v...)
	r.log("SHORT: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.causes = append(r.causes, text)
}

func (r *run) note(format string, v ...any) {
	text := fmt.Sprintf(format, v...)
	r.log("seen: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, text)
}

// measure keeps the seconds until orders were taken after something; below 0: they never were.
func (r *run) measure(after string, seconds float64) {
	text := fmt.Sprintf("%s %.2f", after, seconds)
	if seconds < 0 {
		text = after + " never"
	}
	r.log("seconds until orders are taken: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measures = append(r.measures, text)
}

func (r *run) wait(span time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// until waits for a moment that is counted from another.
func (r *run) until(from time.Time, span time.Duration) error {
	return r.wait(time.Until(from.Add(span)))
}

const (
	ok    = "ok"
	short = "short"
	seen  = "seen"
)

// summarize of a play, and its cause in one line.
func summarize(beyond bool, causes, notes []string) (word, cause string) {
	switch all := slices.Compact(slices.Clone(causes)); {
	case len(all) == 0:
		return ok, strings.Join(notes, "; ")
	case beyond:
		return seen, strings.Join(append(all, notes...), "; ")
	default:
		return short, strings.Join(append(all, notes...), "; ")
	}
}

type outcome struct {
	play
	status, cause, seconds string
	took                   time.Duration
}

func (r *run) finish() (o outcome) {
	if err := r.run(r); err != nil {
		if r.ctx.Err() != nil {
			err = fmt.Errorf("it did not end within %v: %w", maxPlay, err)
		}
		r.short("%v", err)
	}
	for _, s := range r.systems {
		if len(r.causes) > 0 {
			s.evidence()
		}
		for _, broken := range s.close() {
			r.short("%s", broken)
		}
	}
	o.play, o.took = r.play, time.Since(r.began)
	o.status, o.cause = summarize(r.seen, r.causes, r.notes)
	o.seconds = strings.Join(r.measures, ", ")
	return o
}

func seedOf(seed uint64, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, seed, name)
	return h.Sum64()
}

type options struct {
	report.Where
	name, only, program string
	parallel            int
	orders, size        int
	logs                string
	compare             string
	rounds, busy        int
}

// Commands of the lab.
func Commands() []*cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "controlplane",
		Short: "the worst days of real control-plane nodes, from outside: same numbers, lost answers, founding, freezes, " +
			"losses and replacements",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, err := filepath.Abs(o.program)
			if err == nil {
				_, err = exec.LookPath(program)
			}
			if err != nil {
				return fmt.Errorf("--program: %w", err)
			}
			o.program = program
			if o.compare != "" {
				return compareAtOnce(c.Context(), o)
			}
			if o.orders > 0 {
				return timeOrders(c.Context(), o)
			}
			return playAll(c.Context(), o)
		},
	}
	o.Flags(c)
	c.Flags().StringVar(&o.name, "name", "core", "of the files in --out")
	c.Flags().StringVar(&o.only, "only", "", "stories or STORY/VARIANT, by parts of their names, with commas")
	c.Flags().StringVar(&o.program, "program", "target/elmfold-controlplane", "the program")
	c.Flags().IntVar(&o.parallel, "parallel", 4, "plays at once")
	c.Flags().StringVar(&o.logs, "logs", "", "folder in which the journals and logs of plays that fall short stay")
	c.Flags().IntVar(&o.orders, "orders", 0, "only time so many orders")
	c.Flags().IntVar(&o.size, "size", 3, "control-plane nodes for --orders and --compare")
	c.Flags().StringVar(&o.compare, "compare", "",
		"the program of a build before: orders of eight operators at once are timed with both, in turns")
	c.Flags().IntVar(&o.rounds, "rounds", 10, "for --compare: blocks of each build")
	c.Flags().IntVar(&o.busy, "busy", 0, "for --compare: threads of this process that are busy all the time")
	return []*cobra.Command{c}
}

// nets gives each system addresses of its own; two labs on one machine differ by their process numbers.
func nets() func() string {
	var n atomic.Int32
	return func() string { return fmt.Sprintf("127.%d.%d", 10+os.Getpid()%240, 10+n.Add(1)%maxNetworks) }
}

// chosen are the plays that some part of only names; all without it.
func chosen(all []play, only string) (out []play) {
	for _, p := range all {
		if only == "" ||
			slices.ContainsFunc(
				strings.Split(only, ","),
				func(part string) bool { return part != "" && strings.Contains(p.name(), part) },
			) {
			out = append(out, p)
		}
	}
	return out
}

func playAll(ctx context.Context, o options) error {
	all := chosen(stories(), o.only)
	if len(all) == 0 {
		return fmt.Errorf("--only %q: there is no such story", o.only)
	}
	if o.parallel < 1 || o.parallel > maxParallel {
		return fmt.Errorf("--parallel %d: 1 to %d", o.parallel, maxParallel)
	}
	base, err := os.MkdirTemp("", "core")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(base) }()
	began, net := time.Now(), nets()
	results, free := make([]outcome, len(all)), make(chan struct{}, o.parallel)
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[b].span, all[a].span) })
	var done sync.WaitGroup
	for _, i := range order {
		free <- struct{}{}
		done.Go(func() {
			defer func() { <-free }()
			results[i] = playOne(ctx, o, all[i], base, net)
		})
	}
	done.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return tell(o, results, time.Since(began))
}

func playOne(ctx context.Context, o options, p play, base string, net func() string) outcome {
	ctx, cancel := context.WithTimeout(ctx, maxPlay)
	defer cancel()
	dir := filepath.Join(base, strings.NewReplacer("/", "-", " ", "-").Replace(p.name()))
	r := &run{play: p, ctx: ctx, program: o.program, dir: dir, nextNet: net, began: time.Now(),
		chance: rand.New(rand.NewPCG(seedOf(o.Seed, p.name()), 1))}
	lost := func(err error) outcome { return outcome{play: p, status: short, cause: "the lab: " + err.Error()} }
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return lost(err)
	}
	file, err := os.Create(filepath.Join(dir, "journal.log"))
	if err != nil {
		return lost(err)
	}
	r.file = file
	out := r.finish()
	r.log("%s: %s (%s)", out.status, out.cause, out.seconds)
	_ = file.Close()
	fmt.Fprintf(os.Stderr, "%-5s %s, %.1f s: %s\n", out.status, p.name(), out.took.Seconds(), out.cause)
	if o.logs != "" && out.status != ok {
		to := filepath.Join(o.logs, fmt.Sprintf("seed%d-%s", o.Seed, filepath.Base(dir)))
		_ = os.RemoveAll(to)
		if err := keepLogs(dir, to); err != nil {
			fmt.Fprintf(os.Stderr, "elmfold-bench controlplane: %v\n", err)
		}
	}
	_ = os.RemoveAll(dir)
	return out
}

// keepLogs copies journals and logs, not the disks.
func keepLogs(from, to string) error {
	logs, err := filepath.Glob(filepath.Join(from, "*.log"))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	for _, l := range logs {
		text, err := os.ReadFile(l)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(l)), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// tell leaves the table.
func tell(o options, results []outcome, took time.Duration) error {
	r := report.New(
		o.name,
		o.Seed,
		fmt.Sprintf(
			"real control-plane nodes on loopback, %d plays at once, %.0f s in all; seconds: until an order is taken after "+
				"each trouble; other work ran on the machine",
			o.parallel,
			took.Seconds(),
		),
		"verdict",
		"seconds until orders are taken after",
		"cause, or what was seen",
	)
	count := map[string]bool{}
	plays := 0
	for _, x := range results {
		r.Row(fmt.Sprintf("%d %s", x.number, x.name()), x.status, x.seconds, x.cause)
		count[x.story] = count[x.story] || x.status == short
		if x.status == short {
			plays++
		}
	}
	stories := 0
	for _, is := range count {
		if is {
			stories++
		}
	}
	if plays > 0 {
		r.Missed = append(r.Missed, fmt.Sprintf("%d of %d plays fall short", plays, len(results)))
	}
	r.Figure = fmt.Sprintf("core: %d stories, %d short", len(count), stories)
	return r.Leave(o.Out)
}
