package eventloop

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

// snapshotTurns is how many seconds a snapshot of all that is worth keeping takes, so that a second costs little at
// any size.
const snapshotTurns = 8

// FactSink is given what the decisions know, a part of it each second. It must not wait.
type FactSink func(facts []warmstart.Fact)

// SetFactSink hands on what is worth keeping from now on.
func (d *Loop) SetFactSink(keep FactSink) { d.factSink = keep }

var figures = map[policy.EstimateKind]warmstart.Kind{
	policy.EstimateUsage:      warmstart.Use,
	policy.EstimateDerating:   warmstart.Relief,
	policy.EstimateTotalLimit: warmstart.Total,
	policy.EstimateKnee:       warmstart.Knee,
	policy.EstimateThroughput: warmstart.Throughput,
}

// snapshot tells the keeper what has its turn, under names that hold at every controller.
func (d *Loop) snapshot() {
	if d.factSink == nil || d.now < d.snapshotAt+policy.Second {
		return
	}
	d.snapshotAt, d.turn = d.now, (d.turn+1)%snapshotTurns
	all := d.assigner.Snapshot(d.turn, snapshotTurns)
	facts := make([]warmstart.Fact, 0, len(all))
	for _, r := range all {
		f := warmstart.Fact{
			Kind:  figures[r.Kind],
			Value: r.Value,
			Age:   time.Duration(r.Age) * time.Second / time.Duration(policy.Second),
		}
		switch r.Kind {
		case policy.EstimateUsage:
			f.Key = strconv.Itoa(r.Proxy) + "/" + d.names.Products[r.Product]
		case policy.EstimateDerating:
			// A whole one is told only after one that was not, so that it ends that.
			d.derated = append(d.derated, make([]bool, max(r.Backend+1-len(d.derated), 0))...)
			eased := d.derated[r.Backend]
			d.derated[r.Backend] = r.Value < 1
			if f.Key = d.backends[r.Backend]; f.Key == "" || r.Value == 1 && !eased {
				continue
			}
		case policy.EstimateTotalLimit, policy.EstimateKnee, policy.EstimateThroughput: // one each: no key
		}
		facts = append(facts, f)
	}
	d.factSink(facts)
}

// onRestored puts what is believed of earlier knowledge before the decisions, as a figure with its age.
func (d *Loop) onRestored(b warmstart.Believe) error {
	r := policy.RestoredEstimate{
		Value:      b.Value,
		Age:        policy.Time(b.Age * time.Duration(policy.Second) / time.Second),
		Confidence: b.Part,
	}
	switch b.Kind {
	case warmstart.Use:
		proxy, product, _ := strings.Cut(b.Key, "/")
		at, err := strconv.Atoi(proxy)
		if err != nil || at < 0 || at >= len(d.proxies) {
			return fmt.Errorf("%w: %q", errProxy, b.Key)
		}
		if r.Kind, r.Proxy, r.Product = policy.EstimateUsage, at, d.product(product); r.Product < 0 {
			return fmt.Errorf("%w: %q", errProduct, b.Key)
		}
	case warmstart.Relief:
		at, listed := d.index[b.Key]
		if !listed {
			return fmt.Errorf("%w: %q", errBackend, b.Key)
		}
		r.Kind, r.Backend = policy.EstimateDerating, at
	case warmstart.Total:
		r.Kind = policy.EstimateTotalLimit
	case warmstart.Knee:
		r.Kind = policy.EstimateKnee
	case warmstart.Throughput:
		r.Kind = policy.EstimateThroughput
	default: // lists and withdrawals are settled elsewhere
		return nil
	}
	d.events = append(d.events, r)
	return nil
}
