package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller"
	"elmfold/internal/controller/aggregation"
	"elmfold/internal/controller/config"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/jobs"
	"elmfold/internal/controller/membership"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/policy"
)

// member is this instance's part in a member.
type member struct {
	*membership.LoadAggregator
	*membership.Fleet
	streams *membership.Streams
	jobs    *jobs.Node // nil: none are kept
	sheet   config.Config
}

// OpenMember is the controller.OpenMember of this program.
func OpenMember(
	f operatorfile.File,
	sheet config.Config,
	hear func(eventloop.Command),
	log *logrus.Entry,
) (controller.Member, error) {
	o := f.Member
	var ln net.Listener
	streams := ""
	if o.Streams != "" {
		var err error
		if ln, err = net.Listen("tcp4", o.Streams); err != nil {
			return nil, err
		}
		streams = ln.Addr().String()
	}
	all, err := membership.Open(
		membership.Config{Name: sheet.Name, Site: o.Site, Listen: o.Listen, Join: o.Join, Via: o.AddressOverrides},
		streams,
		nil,
		log,
	)
	if err != nil {
		return nil, err
	}
	p := &member{Fleet: all, sheet: sheet}
	if o.ShareTotals {
		totals := make(chan aggregation.Summary, 1) // holds the newest total, so that the sender never blocks
		p.LoadAggregator = all.StartLoadAggregator(func(s aggregation.Summary) {
			select {
			case <-totals:
			default:
			}
			totals <- s
		})
		go forwardTotals(totals, hear, log)
	}
	if ln != nil {
		p.streams = all.ServeStreams(ln, o.StreamAddressOverrides)
	}
	if j := f.Jobs; j != nil {
		life := make([]byte, 8)
		_, _ = rand.Read(life)
		if p.jobs, err = jobs.Open(
			jobs.Config{Path: j.Path, Peers: j.Peers, Authorize: p.authorizeEdit, Incarnation: hex.EncodeToString(life)},
			all,
			p.streams,
			log,
		); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// authorizeEdit says whether the decisions permit what an edit asks for: a product goes to its zones only.
func (p *member) authorizeEdit(e jobs.Edit, v jobs.View) error {
	product, places := v.Job.Product, e.Places
	if e.Job != nil {
		product, places = e.Job.Product, e.Job.Places
	}
	k := slices.Index(p.sheet.Names.Products, product)
	if e.Job != nil && k < 0 {
		return fmt.Errorf("product: %q is none of %s", product, strings.Join(p.sheet.Names.Products, ", "))
	}
	for _, place := range places {
		z := slices.Index(p.sheet.Names.Zones, place)
		if z < 0 {
			return fmt.Errorf("places: %q is none of %s", place, strings.Join(p.sheet.Names.Zones, ", "))
		}
		if k >= 0 {
			if only := p.sheet.Deployment.Products[k].OnlyZones; only != nil && !slices.Contains(only, z) {
				return fmt.Errorf("places: %s may not go to %s", product, place)
			}
		}
	}
	return nil
}

// What a Request can ask of jobs; the body is an Edit, an ID, or nothing.
const (
	DoJobEdit  = "job edit"
	DoJobShow  = "job show"
	DoJobs     = "jobs"
	DoJobSizes = "jobs sizes"
)

const editTimeout = 4 * time.Second

// HandleRequest answers requests of operators and of sources that are about jobs.
func (p *member) HandleRequest(r controller.Request) (body json.RawMessage, ok bool, err error) {
	var said any
	switch {
	case r.Action != DoJobEdit && r.Action != DoJobShow && r.Action != DoJobs && r.Action != DoJobSizes:
		return nil, false, nil
	case p.jobs == nil:
		return nil, true, errors.New("no jobs are kept here; add a section jobs to the operator file")
	case r.Action == DoJobEdit:
		var e jobs.Edit
		if err := decodeStrict(r.Body, &e); err != nil {
			return nil, true, err
		}
		ctx, stop := context.WithTimeout(context.Background(), editTimeout)
		defer stop()
		if e, err = p.jobs.Submit(ctx, e); err != nil {
			return nil, true, err
		}
		said = e
	case r.Action == DoJobShow:
		var id jobs.ID
		if err := decodeStrict(r.Body, &id); err != nil {
			return nil, true, err
		}
		v, known := p.jobs.View(id)
		if !known {
			return nil, true, fmt.Errorf("%s: no such job is known here, or it has ended and all know", id)
		}
		said = v
	case r.Action == DoJobs:
		said = p.jobs.Views()
	default:
		open, edits := p.jobs.Sizes()
		said = map[string]any{"Jobs": open, "Edits": edits, "Knows": p.jobs.Versions(), "Sum": p.jobs.Checksum()}
	}
	body, err = json.Marshal(said)
	return body, true, err
}

// decodeStrict reads a body; what is not known there is an error that names it.
func decodeStrict(raw json.RawMessage, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("Body: %w", err) //nolint:staticcheck // the request's key, as its sender wrote it
	}
	return nil
}

const sumsTimeout = 5 * time.Second

// forwardTotals gives totals to the desk; it says when they begin and when they stay away.
func forwardTotals(totals <-chan aggregation.Summary, hear func(eventloop.Command), log *logrus.Entry) {
	for heard := false; ; {
		select {
		case s := <-totals:
			if !heard {
				log.WithFields(
					logrus.Fields{"instances": s.Origins, "backends": len(s.Reports), "age": s.Age.Round(time.Millisecond)},
				).Info(
					"sums of the fleet are heard",
				)
			}
			heard = true
			hear(eventloop.Command{Message: remoteSums(s)})
		case <-time.After(sumsTimeout):
			if heard {
				log.WithField("after", sumsTimeout).Warn("no sums of the fleet are heard: what is seen here decides")
			}
			heard = false
		}
	}
}

// remoteSums is a total as the desk takes it.
func remoteSums(s aggregation.Summary) eventloop.RemoteSums {
	said := eventloop.RemoteSums{Age: policy.Time(s.Age * time.Duration(policy.Second) / time.Second)}
	for _, w := range s.Reports {
		h := textproto.BackendReport{Backend: w.Backend, Attempts: w.Attempts, Failed: w.Failed}
		if good := w.Attempts - w.Failed; good > 0 {
			h.Latency = policy.Time(w.TotalLatencyMS / good * float64(policy.Second) / 1000)
		}
		said.Reports = append(said.Reports, h)
	}
	for _, u := range s.Usage {
		said.Usage = append(said.Usage, eventloop.ZoneUsage(u))
	}
	return said
}
