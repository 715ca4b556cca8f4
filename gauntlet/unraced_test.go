//go:build !race

package gauntlet

const raced = false
