package simulation

import (
	"slices"
	"time"
)

// Cut parts two machines, both ways or from the first to the second only; the function joins them.
func (w *World) Cut(a, b *Machine, both bool) (join func()) {
	core := a.Disk != nil && b.Disk != nil
	var ends []func(time.Duration)
	for _, m := range []*Machine{a, b} {
		if core || m.Disk == nil {
			ends = append(ends, w.Ledger.BeginFault(w.Now(), m.Name, "cut", false))
		}
	}
	w.Net.Cut(a.IP, b.IP)
	if both {
		w.Net.Cut(b.IP, a.IP)
	}
	if core {
		w.coreEvent()
	}
	return func() {
		w.Net.Join(a.IP, b.IP)
		if both {
			w.Net.Join(b.IP, a.IP)
		}
		for _, end := range ends {
			end(w.Now())
		}
		if core {
			w.coreEvent()
		}
	}
}

// Isolate parts one of the core's machines from the others, both ways or so that it is not heard. The others, which
// are more than half, are settled again before it is joined.
func (w *World) Isolate(c *Machine, both bool) (join func()) {
	ways := [][2]string{}
	for _, o := range w.all() {
		if o != c {
			if ways = append(ways, [2]string{c.IP, o.IP}); both {
				ways = append(ways, [2]string{o.IP, c.IP})
			}
		}
	}
	return w.part(ways, c)
}

// Halve parts some of the core's machines from its others, both ways; the function joins them.
func (w *World) Halve(some []*Machine) (join func()) {
	ways := [][2]string{}
	for _, c := range some {
		for _, o := range w.all() {
			if !slices.Contains(some, o) {
				ways = append(ways, [2]string{c.IP, o.IP}, [2]string{o.IP, c.IP})
			}
		}
	}
	return w.part(ways, some...)
}

// part cuts ways, which is a trouble of some machines; the function joins them.
func (w *World) part(ways [][2]string, of ...*Machine) (join func()) {
	var ends []func(time.Duration)
	for _, m := range of {
		ends = append(ends, w.Ledger.BeginFault(w.Now(), m.Name, "cut", false))
	}
	for _, way := range ways {
		w.Net.Cut(way[0], way[1])
	}
	w.coreEvent()
	return func() {
		for _, way := range ways {
			w.Net.Join(way[0], way[1])
		}
		w.coreEvent()
		for _, end := range ends {
			end(w.Now())
		}
	}
}

// Freeze keeps a machine from all others, which is as near as one process comes to freezing another.
func (w *World) Freeze(m *Machine, span time.Duration) {
	thaw := w.Frozen(m)
	time.Sleep(span)
	thaw()
}

// Frozen is Freeze until the function is called.
func (w *World) Frozen(m *Machine) (thaw func()) {
	end := w.Ledger.BeginFault(w.Now(), m.Name, "freeze", false)
	w.Net.Freeze(m.IP, true)
	if m.Disk != nil {
		w.coreEvent()
	}
	return func() {
		w.Net.Freeze(m.IP, false)
		if end(w.Now()); m.Disk != nil {
			w.coreEvent()
		}
	}
}

// Reset breaks a machine's connections.
func (w *World) Reset(m *Machine) {
	w.Ledger.BeginFault(w.Now(), m.Name, "reset", false)(w.Now())
	if w.Net.Reset(m.IP); m.Disk != nil {
		w.coreEvent()
	}
}
