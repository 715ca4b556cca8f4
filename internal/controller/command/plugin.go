package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/controller/pluginguard"
	"elmfold/internal/controller/pluginhost"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
	"elmfold/pluginsdk/moment"
)

// proposalKinds are the proposals of plug-ins, as hook has them.
var proposalKinds = map[string]pluginguard.Kind{
	moment.Allow: pluginguard.Allow,
	moment.Cap:   pluginguard.Cap,
	moment.Shed:  pluginguard.Shed,
	"retry":      pluginguard.Retry,
}

// pluginCommand tries plug-ins without a controller.
func pluginCommand(out, errs io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "plugin", Short: "check and try plug-ins, without a controller"}
	load := func(path string) (*pluginhost.Plugin, error) {
		code, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		limits := pluginhost.Usual()
		limits.Start, limits.Call = time.Minute, time.Second // how long it takes is shown; a machine at work is no fault
		return pluginhost.Load(path, code, limits)
	}
	c.AddCommand(
		&cobra.Command{
			Use:   "check FILE...",
			Short: "load plug-ins, and say what is wrong with one that cannot be",
			Args:  cobra.MinimumNArgs(1),
			RunE: func(_ *cobra.Command, files []string) error {
				code := exitCode(0)
				for _, path := range files {
					p, err := load(path)
					if err != nil {
						_, _ = fmt.Fprintf(errs, "elmfold: %s: %v\n", path, err)
						code = 2
						continue
					}
					p.Close()
					_, _ = fmt.Fprintf(out, "%s: in order; interface version %d\n", path, moment.Version)
				}
				if code != 0 {
					return code
				}
				return nil
			},
		},
	)
	var moments string
	try := &cobra.Command{
		Use:   "try FILE --moments FILE",
		Short: "tell a plug-in of recorded moments, and say what would become of what it wants",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(moments)
			if err != nil {
				return fmt.Errorf("name the moments with --moments FILE: %w", err)
			}
			p, err := load(args[0])
			if err != nil {
				return err
			}
			defer p.Close()
			return tryMoments(p, text, moments, out)
		},
	}
	try.Flags().StringVar(&moments, "moments", "", "file of moments, one JSON object a line")
	c.AddCommand(try)
	return c
}

// tryMoments tells a plug-in of each moment of a file, and judges what it wants as a controller would.
func tryMoments(p *pluginhost.Plugin, text []byte, path string, out io.Writer) error {
	h := pluginguard.New(pluginguard.Usual())
	h.Step(0, []pluginguard.Event{pluginguard.Loaded{Plugin: p.Name, Precedence: 1}})
	in := bufio.NewScanner(bytes.NewReader(text))
	in.Buffer(nil, 16<<20)
	for line := 1; in.Scan(); line++ {
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		var m moment.Moment
		decoder := json.NewDecoder(bytes.NewReader(in.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("%s:%d: %w; write a moment as in docs/plugins.md", path, line, err)
		}
		began := time.Now()
		a, err := p.Propose(m)
		took := time.Since(began)
		events := eventsFromMoment(m)
		if err != nil {
			events = append(events, pluginguard.Faulted{Plugin: p.Name, Why: err.Error()})
		} else {
			wanted := pluginguard.Proposed{Plugin: p.Name, Revision: m.Revision}
			for _, x := range a.Proposals {
				wanted.All = append(
					wanted.All,
					pluginguard.Proposal{Kind: proposalKinds[x.Kind], Tenant: x.Tenant, Backends: x.Backends, Figure: x.Figure},
				)
			}
			events = append(events, wanted)
		}
		_, _ = fmt.Fprintf(
			out,
			"%s:%d: %d proposals in %.1f ms\n",
			path,
			line,
			len(a.Proposals),
			float64(took.Microseconds())/1000,
		)
		for _, o := range h.Step(policy.Time(m.Now)*policy.Second/1000, events) {
			switch o := o.(type) {
			case pluginguard.Limit:
				_, _ = fmt.Fprintf(
					out,
					"  %s: would go to %v, at most %g txns/s (0: no bound)\n",
					o.Tenant,
					choose(o.Backends == nil, []string{"all"}, o.Backends),
					o.Most,
				)
			case pluginguard.Refused:
				_, _ = fmt.Fprintf(out, "  refused, %d times: %s (the first: %+v)\n", o.Count, o.Reason, o.First)
			case pluginguard.Paused:
				_, _ = fmt.Fprintf(out, "  paused: %s\n", o.Why)
			case pluginguard.PutOut:
				return errors.New("put out: " + o.Why)
			}
		}
	}
	return in.Err()
}

// eventsFromMoment is a moment as the controller's own events would have it. Products may go anywhere: a moment says no more.
func eventsFromMoment(m moment.Moment) []pluginguard.Event {
	var zones []string
	zone := func(name string) int {
		if !slices.Contains(zones, name) {
			zones = append(zones, name)
		}
		return slices.Index(zones, name)
	}
	l := pluginguard.Listed{Revision: m.Revision, Ramp: map[string]float64{}}
	for i, b := range m.Backends {
		status := choose(b.Drains, policy.Draining, policy.Ready)
		l.Backends = append(
			l.Backends,
			tenancy.Backend{At: i, ID: b.ID, Zone: zone(b.Zone), Status: status, Weight: b.Weight},
		)
		if b.Ramp > 0 && b.Ramp < 1 {
			l.Ramp[b.ID] = b.Ramp
		}
	}
	planned := pluginguard.Planned{
		Products: make([]policy.Product, max(len(m.Products), 1)),
		Tenants:  map[string]pluginguard.Tenant{},
	}
	var asked []pluginguard.Event
	for _, t := range m.Tenants {
		in := []int{}
		for _, z := range t.Zones {
			in = append(in, zone(z))
		}
		if len(in) == 0 {
			in = []int{0}
		}
		planned.Tenants[t.Name] = pluginguard.Tenant{Proxies: max(t.Proxies, 1), Zones: in}
		planned.Proxies += max(t.Proxies, 1)
		rate := 0.0
		for _, r := range t.Rates {
			rate += r
		}
		asked = append(asked, pluginguard.Asked{Tenant: t.Name, Rate: rate})
	}
	return append([]pluginguard.Event{planned, l}, asked...)
}

func choose[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}
