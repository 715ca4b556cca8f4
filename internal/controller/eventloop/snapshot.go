package eventloop

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

// snapshotParts is the number of parts of a snapshot. One part is taken per second, to bound the work of a step.
const snapshotParts = 8

// FactSink receives the learned state of the policy, one part per second. It must not block.
type FactSink func(facts []warmstart.Fact)

// SetFactSink passes snapshots to a sink from now on.
func (l *Loop) SetFactSink(sink FactSink) { l.factSink = sink }

var factKinds = map[policy.EstimateKind]warmstart.Kind{
	policy.EstimateUsage:      warmstart.Usage,
	policy.EstimateDerating:   warmstart.Derating,
	policy.EstimateTotalLimit: warmstart.TotalLimit,
	policy.EstimateKnee:       warmstart.Knee,
	policy.EstimateThroughput: warmstart.Throughput,
}

// snapshot passes the next part of the policy's estimates to the sink, with names in place of indices.
func (l *Loop) snapshot() {
	if l.factSink == nil || l.now < l.lastSnapshotAt+policy.Second {
		return
	}
	l.lastSnapshotAt, l.snapshotPart = l.now, (l.snapshotPart+1)%snapshotParts
	all := l.assigner.Snapshot(l.snapshotPart, snapshotParts)
	facts := make([]warmstart.Fact, 0, len(all))
	for _, r := range all {
		f := warmstart.Fact{
			Kind:  factKinds[r.Kind],
			Value: r.Value,
			Age:   time.Duration(r.Age) * time.Second / time.Duration(policy.Second),
		}
		switch r.Kind {
		case policy.EstimateUsage:
			f.Key = strconv.Itoa(r.Proxy) + "/" + l.names.Products[r.Product]
		case policy.EstimateDerating:
			// A derating of 1 is only passed on if it replaces a lower one.
			l.derated = append(l.derated, make([]bool, max(r.Backend+1-len(l.derated), 0))...)
			wasDerated := l.derated[r.Backend]
			l.derated[r.Backend] = r.Value < 1
			if f.Key = l.backends[r.Backend]; f.Key == "" || r.Value == 1 && !wasDerated {
				continue
			}
		case policy.EstimateTotalLimit, policy.EstimateKnee, policy.EstimateThroughput: // have no key
		}
		facts = append(facts, f)
	}
	l.factSink(facts)
}

// onRestored passes an estimate from an earlier snapshot to the policy.
func (l *Loop) onRestored(believed warmstart.Accepted) error {
	r := policy.RestoredEstimate{
		Value:      believed.Value,
		Age:        policy.Time(believed.Age * time.Duration(policy.Second) / time.Second),
		Confidence: believed.Confidence,
	}
	switch believed.Kind {
	case warmstart.Usage:
		proxy, product, _ := strings.Cut(believed.Key, "/")
		at, err := strconv.Atoi(proxy)
		if err != nil || at < 0 || at >= len(l.proxies) {
			return fmt.Errorf("%w: %q", errProxy, believed.Key)
		}
		if r.Kind, r.Proxy, r.Product = policy.EstimateUsage, at, l.product(product); r.Product < 0 {
			return fmt.Errorf("%w: %q", errProduct, believed.Key)
		}
	case warmstart.Derating:
		at, listed := l.index[believed.Key]
		if !listed {
			return fmt.Errorf("%w: %q", errBackend, believed.Key)
		}
		r.Kind, r.Backend = policy.EstimateDerating, at
	case warmstart.TotalLimit:
		r.Kind = policy.EstimateTotalLimit
	case warmstart.Knee:
		r.Kind = policy.EstimateKnee
	case warmstart.Throughput:
		r.Kind = policy.EstimateThroughput
	default: // lists and withdrawals are restored elsewhere
		return nil
	}
	l.events = append(l.events, r)
	return nil
}
