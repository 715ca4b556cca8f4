package emulator

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controller/aggregation"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/textproto"
)

const (
	noticed = 2 * second // until all know that a controller died or came
	hop     = 2 * ms     // between controllers
	useSpan = 5          // seconds that a controller's use is the mean of
)

func (c *controller) name() string { return strconv.Itoa(c.at()) }

func (c *controller) at() int {
	for i, x := range c.w.control {
		if x == c {
			return i
		}
	}
	return len(c.w.control)
}

// phase is a moment of its own within a span: controllers that start together do nothing together.
func (c *controller) phase(span Time) Time {
	if len(c.w.control) < 2 && c.w.Controllers < 2 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(c.name()))
	return 1 + Time(h.Sum32())%span
}

func clock(t Time) time.Duration { return time.Duration(t) * time.Second / time.Duration(second) }

// tellOn begins a controller's part in telling sums on.
func (c *controller) tellOn() {
	w, epoch := c.w, c.epoch
	c.node, c.waits = aggregation.New(c.name(), uint64(w.Now)), false
	clear(c.used)
	c.node.SetMembers(w.reached(c))
	var again func()
	again = func() {
		if c.epoch == epoch && !c.down {
			if c.node.Parent() == "" {
				c.asked(aggregation.Request{Timeout: aggregation.RequestTimeout})
			}
			w.after(w.Told, again)
		}
	}
	w.after(c.phase(w.Told), again)
}

// asked lets a controller tell what it has, after those below it.
func (c *controller) asked(a aggregation.Request) {
	w, epoch := c.w, c.epoch
	c.turns++
	turn := c.turns
	for _, name := range c.node.Children() {
		w.pass(c, name, a, func(to *controller) { to.asked(a.ForChildren()) })
	}
	if c.waits = true; c.node.HasAllPartials() {
		c.tell()
		return
	}
	w.after(Time(a.Timeout*time.Duration(second)/time.Second), func() {
		if c.epoch == epoch && !c.down && c.turns == turn && c.waits {
			c.tell()
		}
	})
}

// tell is the turn of a controller.
func (c *controller) tell() {
	w := c.w
	c.waits = false
	c.node.SetUsage(c.uses())
	up, total, on := c.node.Flush(clock(w.Now))
	if up != nil {
		if w.Twist != nil {
			w.Twist(c.at(), up)
		}
		w.pass(c, c.node.Parent(), up, func(to *controller) {
			if to.node.HandlePartial(c.name(), *up, clock(w.Now)); to.waits && to.node.HasAllPartials() {
				to.tell()
			}
		})
	}
	c.onTotals(total, on)
}

// reached is who is there as a controller sees it.
func (w *World) reached(c *controller) (names []string) {
	for i, x := range w.control {
		if !x.down && (w.Parted == nil || !w.Parted(c.at(), i)) {
			names = append(names, strconv.Itoa(i))
		}
	}
	return names
}

// tellMembers lets all know who is there.
func (w *World) tellMembers() {
	for _, c := range w.control {
		if c.node != nil && !c.down {
			c.node.SetMembers(w.reached(c))
		}
	}
}

// Part cuts controllers off from each other until it is called again.
func (w *World) Part(cut func(i, j int) bool) {
	w.Parted = cut
	w.after(noticed, w.tellMembers)
}

// pass brings a word to another controller, if it is there.
func (w *World) pass(from *controller, name string, what any, do func(to *controller)) {
	i, err := strconv.Atoi(name)
	if err != nil || w.Parted != nil && w.Parted(from.at(), i) {
		return
	}
	body, _ := cbor.Marshal(what)
	if w.Spoken == nil {
		w.Spoken = make([]int, len(w.control))
	}
	w.Spoken[from.at()] += len(body)
	w.Spoken[i] += len(body)
	w.after(hop, func() {
		if to := w.control[i]; !to.down && to.node != nil {
			do(to)
		}
	})
}

// onTotals hands a total to the desk and to the children.
func (c *controller) onTotals(total *aggregation.Summary, on map[string]aggregation.Total) {
	if total == nil {
		return
	}
	said := eventloop.RemoteSums{Age: Time(total.Age * time.Duration(second) / time.Second)}
	for _, u := range total.Usage {
		said.Usage = append(said.Usage, eventloop.ZoneUsage(u))
	}
	for _, x := range total.Reports {
		h := textproto.BackendReport{Backend: x.Backend, Attempts: x.Attempts, Failed: x.Failed}
		if good := x.Attempts - x.Failed; good > 0 {
			h.Latency = Time(x.TotalLatencyMS / good * float64(ms))
		}
		said.Reports = append(said.Reports, h)
	}
	c.loop.Handle(eventloop.Command{Message: said})
	for _, name := range c.node.Children() {
		d := on[name]
		c.w.pass(c, name, d, func(to *controller) {
			to.onTotals(to.node.HandleTotal(c.name(), d, clock(c.w.Now)))
		})
	}
}

func (c *controller) met(h textproto.BackendReport) {
	if c.node != nil {
		c.node.Record(
			aggregation.Report{
				Backend:        h.Backend,
				Attempts:       h.Attempts,
				Failed:         h.Failed,
				TotalLatencyMS: float64(h.Latency) / float64(ms) * (h.Attempts - h.Failed),
			},
			clock(c.w.Now),
		)
	}
}

// took keeps what a proxy reported last of a product.
func (c *controller) took(u textproto.UsageReport) {
	if c.node != nil {
		at := [2]int{u.Proxy, c.w.product(u.Product)}
		c.used[at] += (u.Txns*float64(second)/float64(u.Period) - c.used[at]) / useSpan
	}
}

func (w *World) product(name string) int {
	return slices.IndexFunc(w.Products, func(p Product) bool { return p.Name == name })
}

// uses are those of the proxies that are joined.
func (c *controller) uses() (all []aggregation.Usage) {
	for at, txns := range c.used {
		if p := c.w.proxies[at[0]]; p.stream != nil && p.stream.c == c {
			all = append(all, aggregation.Usage{Product: c.w.Products[at[1]].Name, Zone: c.w.zone(p.zone), Txns: txns})
		}
	}
	slices.SortFunc(all, func(a, b aggregation.Usage) int { return cmp.Compare(a.Txns, b.Txns) }) // sums to the bit
	return all
}
