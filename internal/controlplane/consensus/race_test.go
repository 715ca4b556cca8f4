//go:build race

package consensus

// raceEnabled reports whether the race detector is on. Simulations are much slower with it, so tests run fewer of them.
const raceEnabled = true
