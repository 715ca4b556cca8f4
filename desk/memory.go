package desk

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/policy"
	"elmfold/recall"
)

// turns is how many seconds it takes to tell all that is worth keeping, so that a second costs little at any size.
const turns = 8

// Keep is given what the decisions know, a part of it each second. It must not wait.
type Keep func(facts []recall.Fact)

// KeepWith hands on what is worth keeping from now on.
func (d *Desk) KeepWith(keep Keep) { d.keep = keep }

var figures = map[policy.Figure]recall.Kind{policy.FigureUse: recall.Use, policy.FigureRelief: recall.Relief,
	policy.FigureTotal: recall.Total, policy.FigureKnee: recall.Knee, policy.FigurePace: recall.Pace}

// recollect tells the keeper what has its turn, under names that hold at every controller.
func (d *Desk) recollect() {
	if d.keep == nil || d.now < d.keptAt+policy.Second {
		return
	}
	d.keptAt, d.turn = d.now, (d.turn+1)%turns
	all := d.assigner.Recollect(d.turn, turns)
	facts := make([]recall.Fact, 0, len(all))
	for _, r := range all {
		f := recall.Fact{Kind: figures[r.What], Value: r.Value, Age: time.Duration(r.Age) * time.Second / time.Duration(policy.Second)}
		switch r.What {
		case policy.FigureUse:
			f.Key = strconv.Itoa(r.Proxy) + "/" + d.names.Products[r.Product]
		case policy.FigureRelief:
			// A whole one is told only after one that was not, so that it ends that.
			d.eased = append(d.eased, make([]bool, max(r.Backend+1-len(d.eased), 0))...)
			eased := d.eased[r.Backend]
			d.eased[r.Backend] = r.Value < 1
			if f.Key = d.backends[r.Backend]; f.Key == "" || r.Value == 1 && !eased {
				continue
			}
		}
		facts = append(facts, f)
	}
	d.keep(facts)
}

// recalled puts what is believed of earlier knowledge before the decisions, as a figure with its age.
func (d *Desk) recalled(b recall.Believe) error {
	r := policy.Recalled{Value: b.Value, Age: policy.Time(b.Age * time.Duration(policy.Second) / time.Second), Part: b.Part}
	switch b.Kind {
	case recall.Use:
		proxy, product, _ := strings.Cut(b.Key, "/")
		at, err := strconv.Atoi(proxy)
		if err != nil || at < 0 || at >= len(d.proxies) {
			return fmt.Errorf("%w: %q", errProxy, b.Key)
		}
		if r.What, r.Proxy, r.Product = policy.FigureUse, at, d.product(product); r.Product < 0 {
			return fmt.Errorf("%w: %q", errProduct, b.Key)
		}
	case recall.Relief:
		at, listed := d.index[b.Key]
		if !listed {
			return fmt.Errorf("%w: %q", errBackend, b.Key)
		}
		r.What, r.Backend = policy.FigureRelief, at
	case recall.Total:
		r.What = policy.FigureTotal
	case recall.Knee:
		r.What = policy.FigureKnee
	case recall.Pace:
		r.What = policy.FigurePace
	default: // lists and shut-outs are settled elsewhere
		return nil
	}
	d.events = append(d.events, r)
	return nil
}
