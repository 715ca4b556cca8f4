package emulator

import (
	"math"
	"sync"
	"testing"
)

// Many controllers that each see a few txns a second serve as well as one that sees all, where sums are told on; alone
// they still learn who is slow and decline nothing. Hard cases by name; lab spread has them all at full length.
func TestSpread(t *testing.T) {
	one := Spread{Controllers: 1, Case: "slow"}.Play(1)
	cases := map[string]struct {
		Spread
		service, share float64 // at least; at most away from one controller's
	}{
		"240 controllers of one proxy": {
			Spread{Controllers: 240, Case: "slow", Told: true},
			one.Service - 0.015,
			0.02,
		},
		"240 that hear nothing of each other": {Spread{Controllers: 240, Case: "slow"}, 0.95, 0.04},
		"half are killed at once": {
			Spread{Controllers: 60, Case: "killed", Told: true},
			one.Service - 0.03,
			0.02,
		},
		"sums are 8 s late": {
			Spread{Controllers: 60, Case: "late8", Told: true},
			one.Service - 0.015,
			0.02,
		},
		"one tells nonsense": {
			Spread{Controllers: 60, Case: "liar", Told: true},
			one.Service - 0.015,
			0.02,
		},
		"halves that take each other for dead": {
			Spread{Controllers: 60, Case: "halves", Told: true},
			one.Service - 0.015,
			0.04,
		},
		"one holds most of the use": {
			Spread{Controllers: 60, Case: "uneven", Told: true},
			one.Service - 0.015,
			0.06,
		},
		"a tenth of the backends comes up cold": {
			Spread{Controllers: 60, Case: "cold", Told: true},
			one.Service - 0.02,
			0.02,
		},
	}
	var all sync.WaitGroup
	for name, c := range cases {
		all.Go(func() {
			r := c.Play(1)
			if r.Service < c.service || math.Abs(r.Share-one.Share) > c.share || r.Broken > 0 {
				t.Errorf(
					"%s: service %.3f of %.3f, the slow eighth has %.3f (one controller: %.3f), %d rules broken",
					name,
					r.Service,
					c.service,
					r.Share,
					one.Share,
					r.Broken,
				)
			}
			if r.Declined > one.Declined && c.Case != "cold" {
				t.Errorf("%s: %.4f declined", name, r.Declined)
			}
			if c.Told && c.Controllers == 240 && r.Herd > 1.5 {
				t.Errorf("%s: herd index %.2f", name, r.Herd)
			}
		})
	}
	all.Wait()
}
