//go:build race

package simulation

// raced: the race detector is on, beside which virtual time takes many times as long. CI plays all without it too.
const raced = true
