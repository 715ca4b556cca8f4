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

// proposalKinds maps the kinds of a plug-in's proposals to those of pluginguard. An unknown kind maps to 0.
var proposalKinds = map[string]pluginguard.Kind{
	moment.Allow: pluginguard.Allow,
	moment.Cap:   pluginguard.Cap,
	moment.Shed:  pluginguard.Shed,
	"retry":      pluginguard.Retry,
}

func pluginCommand(stdout, stderr io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "plugin", Short: "check and test plug-ins without a controller"}
	load := func(path string) (*pluginhost.Plugin, error) {
		code, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		limits := pluginhost.DefaultLimits()
		limits.StartTimeout, limits.CallTimeout = time.Minute, time.Second // a busy machine must not fail the check
		return pluginhost.Load(path, code, limits)
	}
	c.AddCommand(
		&cobra.Command{
			Use:   "check FILE...",
			Short: "load plug-ins, and print why one fails to load",
			Args:  cobra.MinimumNArgs(1),
			RunE: func(_ *cobra.Command, files []string) error {
				code := exitError(0)
				for _, path := range files {
					p, err := load(path)
					if err != nil {
						_, _ = fmt.Fprintf(stderr, "elmfold: %s: %v\n", path, err)
						code = exitUsage
						continue
					}
					p.Close()
					_, _ = fmt.Fprintf(stdout, "%s: valid; interface version %d\n", path, moment.Version)
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
		Short: "call a plug-in with recorded moments, and print which proposals would take effect",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(moments)
			if err != nil {
				return fmt.Errorf("cannot read the moments; set the file with --moments FILE: %w", err)
			}
			p, err := load(args[0])
			if err != nil {
				return err
			}
			defer p.Close()
			return tryMoments(p, text, moments, stdout)
		},
	}
	try.Flags().StringVar(&moments, "moments", "", "file of moments, one JSON object per line")
	c.AddCommand(try)
	return c
}

const maxMomentBytes = 16 << 20

// tryMoments calls a plug-in with each moment of a file, and prints which proposals a controller would apply or refuse.
func tryMoments(p *pluginhost.Plugin, text []byte, path string, stdout io.Writer) error {
	guard := pluginguard.New(pluginguard.DefaultConfig())
	guard.Step(0, []pluginguard.Event{pluginguard.PluginLoaded{Plugin: p.Name, Precedence: 1}})
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxMomentBytes)
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var m moment.Moment
		decoder := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("%s:%d: %w; docs/plugins.md describes a moment", path, number, err)
		}
		start := time.Now()
		answer, err := p.Propose(m)
		elapsed := time.Since(start)
		events := eventsFromMoment(m)
		if err != nil {
			events = append(events, pluginguard.PluginFailed{Plugin: p.Name, Why: err.Error()})
		} else {
			proposed := pluginguard.ProposalsReceived{Plugin: p.Name, Revision: m.Revision}
			for _, x := range answer.Proposals {
				proposed.Proposals = append(
					proposed.Proposals,
					pluginguard.Proposal{Kind: proposalKinds[x.Kind], Tenant: x.Tenant, Backends: x.Backends, Figure: x.Figure},
				)
			}
			events = append(events, proposed)
		}
		_, _ = fmt.Fprintf(
			stdout,
			"%s:%d: %d proposals in %.1f ms\n",
			path,
			number,
			len(answer.Proposals),
			float64(elapsed.Microseconds())/1000,
		)
		for _, o := range guard.Step(policy.Time(m.Now)*policy.Second/1000, events) {
			switch o := o.(type) {
			case pluginguard.Limit:
				_, _ = fmt.Fprintf(
					stdout,
					"  %s: allowed backends %v, at most %g transactions/s (0: no limit)\n",
					o.Tenant,
					choose(o.Backends == nil, []string{"all"}, o.Backends),
					o.MaxRate,
				)
			case pluginguard.Rejected:
				_, _ = fmt.Fprintf(stdout, "  refused %d proposals: %s (the first: %+v)\n", o.Count, o.Reason, o.First)
			case pluginguard.PluginPaused:
				_, _ = fmt.Fprintf(stdout, "  paused: %s\n", o.Why)
			case pluginguard.PluginDisabled:
				return errors.New("plug-in disabled: " + o.Why)
			}
		}
	}
	return lines.Err()
}

// eventsFromMoment converts a moment to the events of a controller. Products are unrestricted, since a moment holds no
// restrictions.
func eventsFromMoment(m moment.Moment) []pluginguard.Event {
	var zones []string
	zoneIndex := func(name string) int {
		if !slices.Contains(zones, name) {
			zones = append(zones, name)
		}
		return slices.Index(zones, name)
	}
	list := pluginguard.BackendsUpdated{Revision: m.Revision, Ramp: map[string]float64{}}
	for i, b := range m.Backends {
		status := choose(b.Drains, policy.Draining, policy.Ready)
		list.Backends = append(
			list.Backends,
			tenancy.Backend{Index: i, ID: b.ID, Zone: zoneIndex(b.Zone), Status: status, Weight: b.Weight},
		)
		if b.Ramp > 0 && b.Ramp < 1 {
			list.Ramp[b.ID] = b.Ramp
		}
	}
	planned := pluginguard.TenantsUpdated{
		Products: make([]policy.Product, max(len(m.Products), 1)),
		Tenants:  map[string]pluginguard.Tenant{},
	}
	var demands []pluginguard.Event
	for _, t := range m.Tenants {
		tenantZones := []int{}
		for _, z := range t.Zones {
			tenantZones = append(tenantZones, zoneIndex(z))
		}
		if len(tenantZones) == 0 {
			tenantZones = []int{0}
		}
		planned.Tenants[t.Name] = pluginguard.Tenant{Proxies: max(t.Proxies, 1), Zones: tenantZones}
		planned.Proxies += max(t.Proxies, 1)
		rate := 0.0
		for _, r := range t.Rates {
			rate += r
		}
		demands = append(demands, pluginguard.DemandUpdated{Tenant: t.Name, Rate: rate})
	}
	return append([]pluginguard.Event{planned, list}, demands...)
}

func choose[T any](condition bool, ifTrue, ifFalse T) T {
	if condition {
		return ifTrue
	}
	return ifFalse
}
