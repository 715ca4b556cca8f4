package simulation

import (
	"fmt"
	"slices"
	"sync/atomic"
)

// Numbers gives configurations rising versions.
type Numbers struct{ last atomic.Uint32 }

// Next is a configuration unlike the last.
func (n *Numbers) Next() *Config {
	v := n.last.Add(1) + 1
	c := NewConfig(v)
	if v%2 == 0 {
		c.Routes[0].Services = []string{"views"}
	}
	return c
}

// other is another body under the same number.
func other(c *Config, n int) *Config {
	o := *c
	o.Routes = append(slices.Clone(c.Routes), Route{Host: "a.example", Prefix: fmt.Sprintf("/other-%d/", n), Safe: true,
		Services: []string{"pages"}, TimeoutS: 4, MaxTries: 2})
	return &o
}
