//go:build race

package sharding

const raceEnabled = true
