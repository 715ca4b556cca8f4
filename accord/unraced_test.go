//go:build !race

package accord

const raced = false
