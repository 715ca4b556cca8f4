package paired

import (
	"errors"
	"math/rand/v2"
	"testing"
)

func TestRunComparesRoundByRound(t *testing.T) {
	drift, plays := 0.0, map[Build]int{}
	c, err := Run(rand.New(rand.NewPCG(1, 1)), 9, func(b Build) ([]Measurement, error) {
		drift++ // the machine gets slower by the block
		plays[b]++
		value := 100 + drift
		if b == After {
			value *= 0.5
		}
		return []Measurement{{"us", value}, {"constant", 3}}, nil
	})
	if err != nil || plays[Before] != 9 || plays[After] != 9 {
		t.Fatal(err, plays)
	}
	ratios := c.Ratios()
	if r := ratios[0]; r.Name != "us" || r.Middle < 0.49 || r.Middle > 0.51 || r.Least > r.Lower || r.Higher > r.Largest {
		t.Errorf("%+v", r)
	}
	if ratios[1].Middle != 1 {
		t.Errorf("%+v", ratios[1])
	}
}

func TestRunRefusesAndReports(t *testing.T) {
	if _, err := Run(nil, 0, nil); err == nil || err.Error() != "--rounds 0: 1 to 60" {
		t.Error(err)
	}
	broken := errors.New("broken")
	_, err := Run(rand.New(rand.NewPCG(1, 1)), 1, func(Build) ([]Measurement, error) { return nil, broken })
	if !errors.Is(err, broken) {
		t.Error(err)
	}
}
