package membership

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"elmfold/internal/bench/report"
	"elmfold/internal/emulator"
	"elmfold/internal/fakes/fleet"
)

const (
	realBackends = 48
	realZones    = 4
	realWork     = 40 * time.Millisecond // of a core of speed 1
	realSLA      = 400 * time.Millisecond
	realGiveUp   = 1200 * time.Millisecond
	realRate     = 4.6 // txns/s of a proxy
	realSlow     = 3.5
)

// realBackend serves txns in real time, some at once, in their order.
type realBackend struct {
	mu    sync.Mutex
	cores []time.Time // when each is free
	speed float64
	tried int
}

// serve says how long a txn takes that comes now.
func (b *realBackend) serve(now time.Time, work time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tried++
	at := 0
	for i := range b.cores {
		if b.cores[i].Before(b.cores[at]) {
			at = i
		}
	}
	begin := now
	if b.cores[at].After(now) {
		begin = b.cores[at]
	}
	if begin.Sub(now) > realGiveUp { // the queue is full
		return realGiveUp + 1
	}
	b.cores[at] = begin.Add(time.Duration(float64(work) / b.speed))
	return b.cores[at].Sub(now)
}

type realSum struct{ requested, served, late, failed, declined int }

// realProxy plays a proxy's clients against its controller's tables.
type realProxy struct {
	*fleet.Proxy
	chance  *rand.Rand
	mu      sync.Mutex
	busy    map[string]int
	reports map[string][3]float64 // tries, voided, ms
	arrived int
	failed  int
	credit  float64
	at      time.Time
	sum     []realSum
}

func (p *realProxy) second(began time.Time) *realSum {
	at := int(time.Since(began) / time.Second)
	for len(p.sum) <= at {
		p.sum = append(p.sum, realSum{})
	}
	return &p.sum[at]
}

// pick draws two lines by weight and takes the one with fewer tries of this proxy under way.
func (p *realProxy) pick(lines map[string]float64) (best string) {
	ids, total := slices.Sorted(maps.Keys(lines)), 0.0
	for _, id := range ids {
		total += lines[id]
	}
	for range 2 {
		draw := p.chance.Float64() * total
		for _, id := range ids {
			if draw -= lines[id]; draw <= 0 && lines[id] > 0 {
				if best == "" || p.busy[id] < p.busy[best] {
					best = id
				}
				break
			}
		}
	}
	return best
}

// ask is a txn that comes.
func (p *realProxy) ask(backends map[string]*realBackend, began time.Time) {
	lines, level := p.Weights()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	s := p.second(began)
	s.requested++
	p.arrived++
	if level > 0 && level < 1e5 {
		p.credit = math.Min(p.credit+level*now.Sub(p.at).Seconds(), math.Max(level, 1))
		if p.at = now; p.credit < 1 {
			s.declined++
			return
		}
		p.credit--
	}
	id := p.pick(lines)
	if id == "" {
		s.failed++
		return
	}
	p.busy[id]++
	took := backends[id].serve(now, time.Duration(float64(realWork)*(0.8+0.4*p.chance.Float64())))
	time.AfterFunc(min(took, realGiveUp), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.busy[id]--
		m := p.reports[id]
		m[0]++
		switch {
		case took > realGiveUp:
			m[1]++
			p.failed++
			s.failed++
		case took > realSLA:
			s.late++
		default:
			s.served++
		}
		if took <= realGiveUp {
			m[2] += float64(took) / float64(time.Millisecond)
		}
		p.reports[id] = m
	})
}

// report says what the last second was.
func (p *realProxy) report() {
	p.mu.Lock()
	met, came, voided := p.reports, p.arrived, p.failed
	p.reports, p.arrived, p.failed = map[string][3]float64{}, 0, 0
	p.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(met)) {
		m := met[id]
		p.Met(id, int(m[0]), int(m[1]), m[2]/math.Max(m[0]-m[1], 1))
	}
	p.Came(came, voided)
}

// realPlay runs n processes with a proxy each for so long; it gives the service, the slow eighth's share, what was
// declined, and the memory of the largest process, in the last half.
func realPlay(
	program string,
	n int,
	told bool,
	span time.Duration,
	seed uint64,
) (service, share, declined float64, memory int, err error) {
	dir, err := os.MkdirTemp("", "spread")
	if err != nil {
		return service, share, declined, memory, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rig, err := fleet.New(program, dir, n, realZones, n, false, nil)
	if err != nil {
		return service, share, declined, memory, err
	}
	defer rig.Close()
	rig.Zones, rig.Members = nil, nil
	for z := range realZones {
		rig.Zones = append(rig.Zones, string(rune('a'+z)))
	}
	backends, slow := map[string]*realBackend{}, map[string]bool{}
	for i := range realBackends {
		id, speed := fmt.Sprintf("s-%02d", i), 0.9+0.2*float64(i%5)/4
		rig.Members = append(rig.Members, fleet.Member(id, rig.Zones[i%realZones], 2*speed))
		if slow[id] = i%8 == 3; slow[id] {
			speed /= realSlow
		}
		// As many txns a proxy at any number of them: the backends are as strong as they are many.
		backends[id] = &realBackend{cores: make([]time.Time, 2), speed: speed * float64(n) / 240}
	}
	rig.NoSums = !told
	var all sync.WaitGroup
	errs := make([]error, n)
	for from := 0; from < n; from += 20 { // not all at once: they are on one machine
		for i := from; i < min(from+20, n); i++ {
			all.Go(func() { errs[i] = rig.Processes[i].Start() })
		}
		all.Wait()
	}
	if err = errors.Join(errs...); err != nil {
		return service, share, declined, memory, err
	}
	proxies := make([]*realProxy, n)
	for i, p := range rig.Processes {
		addr, e := p.Addr()
		if e != nil {
			return service, share, declined, memory, e
		}
		c, e := fleet.Dial(addr, i, rig.Zones[i%realZones])
		if e != nil {
			return service, share, declined, memory, e
		}
		defer c.Close()
		proxies[i] = &realProxy{
			Proxy:   c,
			chance:  rand.New(rand.NewPCG(seed, uint64(i))),
			busy:    map[string]int{},
			reports: map[string][3]float64{},
		}
	}
	began := time.Now()
	for i, p := range proxies {
		all.Go(func() {
			next := rand.New(rand.NewPCG(seed, uint64(1000+i)))
			for time.Since(began) < span {
				time.Sleep(time.Duration(next.ExpFloat64() / realRate * float64(time.Second)))
				p.ask(backends, began)
			}
		})
		all.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond % time.Second)
			for time.Since(began) < span {
				time.Sleep(time.Second)
				p.report()
			}
		})
	}
	all.Wait()
	time.Sleep(realGiveUp)
	sum := realSum{}
	for _, p := range proxies {
		lines, _ := p.Weights()
		total, mine := 0.0, 0.0
		for id, w := range lines {
			total += w
			if slow[id] {
				mine += w
			}
		}
		share += mine / math.Max(total, 1e-9) / float64(n)
		p.mu.Lock()
		for at, s := range p.sum {
			if at >= int(span.Seconds())/2 && at < int(span.Seconds()) {
				sum.requested, sum.served, sum.declined = sum.requested+s.requested, sum.served+s.served, sum.declined+s.declined
			}
		}
		p.mu.Unlock()
	}
	for _, p := range rig.Processes {
		memory = max(memory, report.ResidentOf(p.ID()))
	}
	return float64(sum.served) / float64(sum.requested), share, float64(sum.declined) / float64(sum.requested), memory, nil
}

func playSpreadReal(w report.Where, program string, counts []int) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	r := report.New(
		"spread-real",
		w.Seed,
		"a proxy a process, 48 backends of which 6 are 3.5 times slower than listed, seconds 30 to 60",
		"service",
		"slow share",
		"declined",
		"MB resident, most",
	)
	var least, most float64 = math.Inf(1), 0
	got := map[bool]float64{}
	for i, n := range counts {
		for _, told := range []bool{true, false} {
			if !told && i < len(counts)-1 {
				continue // alone at the largest only
			}
			service, share, declined, memory, err := realPlay(program, n, told, 60*time.Second, w.Seed)
			if err != nil {
				return err
			}
			name := map[bool]string{true: "told", false: "alone"}[told]
			r.Row(
				fmt.Sprintf("%d processes, %s", n, name),
				fmt.Sprintf("%.3f", service),
				fmt.Sprintf("%.3f", share),
				fmt.Sprintf("%.4f", declined),
				fmt.Sprintf("%.1f", float64(memory)/(1<<20)),
			)
			if got[told] = service; told {
				least, most = math.Min(least, float64(memory)), math.Max(most, float64(memory))
				if memory > 32<<20 {
					r.Missed = append(r.Missed, fmt.Sprintf("%d processes: %d MB", n, memory>>20))
				}
			}
		}
	}
	if most > bytesFlat*least {
		r.Missed = append(r.Missed, fmt.Sprintf("memory from %.1f to %.1f MB", least/(1<<20), most/(1<<20)))
	}
	one := emulator.Spread{Controllers: 1, Case: "slow"}.Play(w.Seed)
	if got[true] < one.Service-2*spreadTimeout {
		r.Missed = append(r.Missed, fmt.Sprintf("service %.3f, one controller in the emulator %.3f", got[true], one.Service))
	}
	r.Figure = fmt.Sprintf(
		"%d processes: service %.3f told, %.3f alone; one controller in the emulator %.3f",
		counts[len(counts)-1],
		got[true],
		got[false],
		one.Service,
	)
	return r.Leave(w.Out)
}
