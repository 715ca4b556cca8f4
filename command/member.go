package command

import (
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/choice"
	"elmfold/controller"
	"elmfold/desk"
	"elmfold/edge"
	"elmfold/member"
	"elmfold/operator"
	"elmfold/told"
)

// fleet is this instance's part in a fleet.
type fleet struct {
	*member.Sums
	*member.Fleet
}

// OpenMember is the controller.OpenMember of this program.
func OpenMember(f operator.File, name string, hear func(desk.News), log *logrus.Entry) (controller.Member, error) {
	o := f.Member
	all, err := member.Open(member.Plan{Name: name, Site: o.Site, Listen: o.Listen, Join: o.Join, Via: o.Via}, "", nil, log)
	if err != nil {
		return nil, err
	}
	p := fleet{Fleet: all}
	if o.Sums {
		totals := make(chan told.Sums, 1) // what is newest replaces what is stale: who tells never waits for the desk
		p.Sums = all.Tell(func(s told.Sums) {
			select {
			case <-totals:
			default:
			}
			totals <- s
		})
		go handOn(totals, hear, log)
	}
	return p, nil
}

const unheard = 5 * time.Second

// handOn gives totals to the desk; it says when they begin and when they stay away.
func handOn(totals <-chan told.Sums, hear func(desk.News), log *logrus.Entry) {
	for heard := false; ; {
		select {
		case s := <-totals:
			if !heard {
				log.WithFields(logrus.Fields{"instances": s.Origins, "backends": len(s.Words), "age": s.Age.Round(time.Millisecond)}).Info("sums of the fleet are heard")
			}
			heard = true
			heard = true
			hear(desk.News{Said: toldOf(s)})
		case <-time.After(unheard):
			if heard {
				log.WithField("after", unheard).Warn("no sums of the fleet are heard: what is seen here decides")
			}
			heard = false
		}
	}
}

// toldOf is a total as the desk takes it.
func toldOf(s told.Sums) desk.Told {
	said := desk.Told{Age: choice.Time(s.Age * time.Duration(choice.Second) / time.Second)}
	for _, w := range s.Words {
		h := edge.Heard{Backend: w.Backend, Tries: w.Tries, Voided: w.Voided}
		if good := w.Tries - w.Voided; good > 0 {
			h.Took = choice.Time(w.Spent / good * float64(choice.Second) / 1000)
		}
		said.Heard = append(said.Heard, h)
	}
	for _, u := range s.Uses {
		said.Uses = append(said.Uses, desk.Use(u))
	}
	return said
}
