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

// member connects this controller to the other controllers of the fleet.
type member struct {
	*membership.LoadAggregator
	*membership.Fleet
	streams  *membership.Streams
	jobs     *jobs.Node // nil without a section jobs
	settings config.Config
}

// OpenMember implements controller.OpenMember.
func OpenMember(
	f operatorfile.File,
	settings config.Config,
	send func(eventloop.Command),
	log *logrus.Entry,
) (controller.Member, error) {
	o := f.Member
	var listener net.Listener
	streamAddress := ""
	if o.Streams != "" {
		var err error
		if listener, err = net.Listen("tcp4", o.Streams); err != nil {
			return nil, err
		}
		streamAddress = listener.Addr().String()
	}
	fleet, err := membership.Open(
		membership.Config{Name: settings.Name, Site: o.Site, Listen: o.Listen, Join: o.Join, Via: o.AddressOverrides},
		streamAddress,
		nil,
		log,
	)
	if err != nil {
		return nil, err
	}
	m := &member{Fleet: fleet, settings: settings}
	if o.ShareTotals {
		totals := make(chan aggregation.Summary, 1) // holds the newest total, so that the sender never blocks
		m.LoadAggregator = fleet.StartLoadAggregator(func(s aggregation.Summary) {
			select {
			case <-totals:
			default:
			}
			totals <- s
		})
		go forwardTotals(totals, send, log)
	}
	if listener != nil {
		m.streams = fleet.ServeStreams(listener, o.StreamAddressOverrides)
	}
	if j := f.Jobs; j != nil {
		incarnation := make([]byte, 8)
		_, _ = rand.Read(incarnation)
		if m.jobs, err = jobs.Open(
			jobs.Config{
				Path:        j.Path,
				Peers:       j.Peers,
				Authorize:   m.authorizeEdit,
				Incarnation: hex.EncodeToString(incarnation),
			},
			fleet,
			m.streams,
			log,
		); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// authorizeEdit returns an error if an edit places a job in a zone where the settings do not allow its product.
func (m *member) authorizeEdit(e jobs.Edit, v jobs.View) error {
	product, places := v.Job.Product, e.Places
	if e.Job != nil {
		product, places = e.Job.Product, e.Job.Places
	}
	k := slices.Index(m.settings.Names.Products, product)
	if e.Job != nil && k < 0 {
		return fmt.Errorf("product: %q is unknown; use one of %s", product, strings.Join(m.settings.Names.Products, ", "))
	}
	for _, place := range places {
		z := slices.Index(m.settings.Names.Zones, place)
		if z < 0 {
			return fmt.Errorf("places: zone %q is unknown; use one of %s", place, strings.Join(m.settings.Names.Zones, ", "))
		}
		if k >= 0 {
			if only := m.settings.Deployment.Products[k].OnlyZones; only != nil && !slices.Contains(only, z) {
				return fmt.Errorf("places: product %s is not allowed in zone %s", product, place)
			}
		}
	}
	return nil
}

// Values of Request.Action for jobs. The body is a jobs.Edit, a jobs.ID, or absent.
const (
	ActionEditJob      = "job edit"
	ActionShowJob      = "job show"
	ActionListJobs     = "jobs"
	ActionShowJobSizes = "jobs sizes"
)

const editTimeout = 4 * time.Second

// HandleRequest executes a request about jobs. It returns false for any other request.
func (m *member) HandleRequest(r controller.Request) (body json.RawMessage, ok bool, err error) {
	var reply any
	switch {
	case r.Action != ActionEditJob && r.Action != ActionShowJob && r.Action != ActionListJobs &&
		r.Action != ActionShowJobSizes:
		return nil, false, nil
	case m.jobs == nil:
		return nil, true, errors.New("this controller keeps no jobs; add a section jobs to the operator file")
	case r.Action == ActionEditJob:
		var e jobs.Edit
		if err := decodeStrict(r.Body, &e); err != nil {
			return nil, true, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
		defer cancel()
		if e, err = m.jobs.Submit(ctx, e); err != nil {
			return nil, true, err
		}
		reply = e
	case r.Action == ActionShowJob:
		var id jobs.ID
		if err := decodeStrict(r.Body, &id); err != nil {
			return nil, true, err
		}
		view, known := m.jobs.View(id)
		if !known {
			return nil, true, fmt.Errorf("%s: job is unknown, or ended and compacted", id)
		}
		reply = view
	case r.Action == ActionListJobs:
		reply = m.jobs.Views()
	default:
		open, edits := m.jobs.Sizes()
		reply = map[string]any{"Jobs": open, "Edits": edits, "Knows": m.jobs.Versions(), "Sum": m.jobs.Checksum()}
	}
	body, err = json.Marshal(reply)
	return body, true, err
}

// decodeStrict decodes a request body. It returns an error for an unknown field.
func decodeStrict(raw json.RawMessage, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("Body: %w", err) //nolint:staticcheck // the JSON key of the request
	}
	return nil
}

const totalsTimeout = 5 * time.Second

// forwardTotals posts the fleet's totals to the event loop. It logs when they start to arrive and when they stop.
func forwardTotals(totals <-chan aggregation.Summary, send func(eventloop.Command), log *logrus.Entry) {
	for receiving := false; ; {
		select {
		case s := <-totals:
			if !receiving {
				log.WithFields(
					logrus.Fields{"instances": s.Origins, "backends": len(s.Reports), "age": s.Age.Round(time.Millisecond)},
				).Info(
					"receiving load totals of the fleet",
				)
			}
			receiving = true
			send(eventloop.Command{Message: remoteSums(s)})
		case <-time.After(totalsTimeout):
			if receiving {
				log.WithField("after", totalsTimeout).
					Warn("no load totals of the fleet received; using the reports of this controller's proxies only")
			}
			receiving = false
		}
	}
}

// remoteSums converts a total to the message of the event loop. The event loop takes the mean latency of successful
// attempts in place of their sum.
func remoteSums(s aggregation.Summary) eventloop.RemoteSums {
	sums := eventloop.RemoteSums{Age: policy.Time(s.Age * time.Duration(policy.Second) / time.Second)}
	for _, r := range s.Reports {
		report := textproto.BackendReport{Backend: r.Backend, Attempts: r.Attempts, Failed: r.Failed}
		if succeeded := r.Attempts - r.Failed; succeeded > 0 {
			report.Latency = policy.Time(r.TotalLatencyMS / succeeded * float64(policy.Second) / 1000)
		}
		sums.Reports = append(sums.Reports, report)
	}
	for _, u := range s.Usage {
		sums.Usage = append(sums.Usage, eventloop.ZoneUsage(u))
	}
	return sums
}
