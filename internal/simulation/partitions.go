package simulation

import (
	"slices"
)

// Way is in which directions a cut loses what is sent.
type Way uint8

// Ways: both; what the cut-off side says; what it would hear.
const (
	Both Way = iota
	Unheard
	Deaf
)

func (y Way) String() string { return []string{"both ways", "unheard", "deaf"}[y] }

// Split parts some machines of the core, carriers and backends from all others; the function joins them. Carriers and
// backends reach the core's machines of their own side only.
func (w *World) Split(cores, carriers []*Machine, backends []*Backend, y Way) (join func()) {
	var ways [][2]string
	apart := func(a, b string) { // a is on the side that is cut off
		if y != Deaf {
			ways = append(ways, [2]string{a, b})
		}
		if y != Unheard {
			ways = append(ways, [2]string{b, a})
		}
	}
	for _, o := range w.Cores() {
		if slices.Contains(cores, o) {
			for _, m := range w.Proxies {
				if !slices.Contains(carriers, m) {
					apart(o.IP, m.IP)
				}
			}
			for _, b := range w.Backends() {
				if !slices.Contains(backends, b) {
					apart(o.IP, b.host.IP)
				}
			}
			continue
		}
		for _, m := range slices.Concat(cores, carriers) {
			apart(m.IP, o.IP)
		}
		for _, b := range backends {
			apart(b.host.IP, o.IP)
		}
	}
	return w.part(ways, slices.Concat(cores, carriers)...)
}

// Partition cuts each of some machines of the core from each other.
func (w *World) Partition(some []*Machine) (join func()) {
	var ways [][2]string
	for i, a := range some {
		for _, b := range some[:i] {
			ways = append(ways, [2]string{a.IP, b.IP}, [2]string{b.IP, a.IP})
		}
	}
	return w.part(ways, some...)
}
