package operatorfile

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

// Cells is what a file says of cells and tenants; the places of products, zones and the cold time are the
// platform's to tell.
type Cells struct {
	Plan        tenancy.Plan
	File        string
	TenantLines []int // of the tenants' sections
}

// Control is the socket at which a running controller answers its operators.
type Control struct{ Path string }

func ticks(d time.Duration) policy.Time { return policy.Time(d / (100 * time.Microsecond)) }

const (
	mostTenants = 10000
	mostProxies = 100000
)

// cells reads the section that turns cells on: cells fixed, or cells shuffle.
func (r *reader) cells(s section) *Cells {
	c := &Cells{Plan: tenancy.Usual(), File: r.file}
	p := &c.Plan
	switch way := strings.Join(s.arguments, " "); way {
	case "fixed", "shuffle":
		p.Shuffle = way == "shuffle"
	default:
		r.fault(s.line, "write cells fixed or cells shuffle", "cells %q is no known way", way)
		return c
	}
	span := func(into *policy.Time, most time.Duration) rule {
		return rule{1, 1, "30s", func(d directive, w []string) {
			v := -time.Second
			if r.span(&v, time.Second, most).read(d, w); v >= 0 {
				*into = ticks(v)
			}
		}}
	}
	rules := map[string]rule{
		"loan":      r.count(&p.Loan, 0, 1000),
		"loan-time": span(&p.LoanFor, time.Hour),
		"lost":      r.count(&p.Lost, 0, 1000),
		"lost-time": span(&p.LostOver, 24*time.Hour),
		"trickle":   r.rate(&p.Trickle, 0.01, 1000),
		"settle":    span(&p.Settle, 10*time.Minute),
		"prepare":   span(&p.Prepare, time.Hour),
		"part":      r.part(&p.Part),
		"warn":      r.part(&p.Warn),
	}
	if p.Shuffle {
		rules["size"] = r.count(&p.Size, 1, 1000)
	} else {
		rules["cell"] = rule{1, many, "NAME", func(d directive, w []string) {
			part := 1.0
			if len(w) == 3 && w[1] == "part" {
				v, err := strconv.ParseFloat(w[2], 64)
				if err != nil || v <= 0 || v > 1000 {
					r.fault(d.line, "write a number above 0, such as: cell blue part 2", "part %q is none", w[2])
					return
				}
				part = v
			} else if len(w) != 1 {
				r.fault(d.line, "write cell NAME or cell NAME part 2", "cell says too much: %q", w[1])
				return
			}
			if slices.ContainsFunc(p.Cells, func(c tenancy.Cell) bool { return c.Name == w[0] }) {
				r.fault(d.line, "take one of them out", "cell %s stands there twice", w[0])
				return
			}
			p.Cells = append(p.Cells, tenancy.Cell{Name: w[0], Part: part})
		}}
	}
	faults := len(r.faults)
	at := r.obey(s, rules)
	switch {
	case len(r.faults) > faults:
	case !p.Shuffle && len(p.Cells) < 2:
		r.fault(s.line, "add lines such as: cell blue", "%d cells confine nobody", len(p.Cells))
	case p.Part == 0:
		r.fault(at["part"], "write a part above 0%", "a move of no proxies never ends")
	}
	return c
}

// rate reads so many a second.
func (r *reader) rate(into *float64, least, most float64) rule {
	return rule{1, 1, "0.5/s", func(d directive, w []string) {
		text, ok := strings.CutSuffix(w[0], "/s")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(v >= least && v <= most) {
			r.fault(d.line, fmt.Sprintf("write a rate from %g/s to %g/s", least, most), "%s %q is none", d.name, w[0])
			return
		}
		*into = v
	}}
}

// tenant reads a section tenant NAME.
func (r *reader) tenant(s section) (t tenancy.Tenant) {
	if len(s.arguments) != 1 {
		r.fault(s.line, "write tenant NAME", "a tenant has one name")
		return t
	}
	t.Name = s.arguments[0]
	at := r.obey(s, map[string]rule{
		"cell": r.parseWord(&t.Cell, "blue"),
		"size": r.count(&t.Size, 1, 1000),
		"proxies": {1, many, "0-4 7", func(d directive, w []string) {
			for _, word := range w {
				from, to, ranged := strings.Cut(word, "-")
				if !ranged {
					to = from
				}
				a, errA := strconv.Atoi(from)
				b, errB := strconv.Atoi(to)
				if errA != nil || errB != nil || a < 0 || b < a || b >= mostProxies {
					r.fault(d.line, "write numbers and spans of them, such as: proxies 0-4 7", "proxies %q is none", word)
					return
				}
				for i := a; i <= b; i++ {
					t.Proxies = append(t.Proxies, i)
				}
			}
		}},
	})
	if at["proxies"] == 0 {
		r.fault(s.line, "add a line such as: proxies 0-4", "tenant %s has no proxies", t.Name)
	}
	return t
}

// control reads the section control.
func (r *reader) control(s section) *Control {
	c := &Control{}
	at := r.obey(s, map[string]rule{"socket": r.parseWord(&c.Path, "/run/elmfold.sock")})
	if at["socket"] == 0 {
		r.fault(s.line, "add a line such as: socket /run/elmfold.sock", "control has no socket")
	}
	return c
}

// fit checks what tenants and cells say of each other. lines are those of the tenants' sections.
func (r *reader) fit(f *File, tenants []tenancy.Tenant, lines []int) {
	if len(tenants) == 0 {
		return
	}
	if f.Cells == nil {
		r.fault(lines[0], "add a section: cells fixed or cells shuffle", "a tenant without cells")
		return
	}
	p := &f.Cells.Plan
	owner := map[int]string{}
	for i, t := range tenants {
		named := func(c tenancy.Cell) bool { return c.Name == t.Cell }
		switch {
		case p.Shuffle && t.Cell != "":
			r.fault(
				lines[i],
				"take the line cell out, or write cells fixed",
				"tenant %s names a cell where there are none",
				t.Name,
			)
		case !p.Shuffle && t.Size != 0:
			r.fault(lines[i], "take the line size out, or write cells shuffle", "tenant %s has a size in a fixed cell", t.Name)
		case !p.Shuffle && !slices.ContainsFunc(p.Cells, named):
			var names []string
			for _, c := range p.Cells {
				names = append(names, c.Name)
			}
			if len(names) > 0 {
				r.fault(lines[i], nearest(t.Cell, names), "tenant %s is in no known cell %q", t.Name, t.Cell)
			}
		}
		for _, at := range t.Proxies {
			if other, taken := owner[at]; taken {
				r.fault(lines[i], "give it to one of them", "proxy %d is of tenant %s and of tenant %s", at, other, t.Name)
				break
			}
			owner[at] = t.Name
		}
	}
	if len(tenants) > mostTenants {
		r.fault(lines[mostTenants], "put some together", "more than %d tenants", mostTenants)
	}
	p.Tenants, f.Cells.TenantLines = tenants, lines
}

// PlanFor returns the plan with what the platform's settings say of products and zones.
func (c *Cells) PlanFor(d policy.Deployment) tenancy.Plan {
	p := c.Plan
	p.Products, p.Zones, p.Cold = d.Products, d.Zones, d.WarmupTime
	return p
}

// TenantsWithUnknownProxies names tenants with proxies that the settings do not have.
func (c *Cells) TenantsWithUnknownProxies(proxies int) (names []string) {
	beyond := map[string]bool{}
	for _, t := range c.Plan.Tenants {
		for _, at := range t.Proxies {
			if at >= proxies {
				beyond[t.Name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(beyond))
}

// Validate checks the plan against a backend list. A non-nil error is of type FileErrors.
func (c *Cells) Validate(d policy.Deployment, list []tenancy.Backend) error {
	p := c.PlanFor(d)
	var faults FileErrors
	for _, l := range p.Lacks(list) {
		mend := "give its cell a larger part, or put it into another"
		if p.Shuffle {
			mend = "give it a larger size"
		}
		faults = append(
			faults,
			FileError{c.File, c.TenantLines[l.Tenant], fmt.Sprintf("tenant %s: %s", p.Tenants[l.Tenant].Name, l.Why), mend},
		)
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// Warnings name the tenants that can touch more of the others' strength than the file says is meant.
func (c *Cells) Warnings(d policy.Deployment, list []tenancy.Backend) (all []string) {
	p := c.PlanFor(d)
	radii, _ := p.Radii(list)
	for i, r := range radii {
		if p.Warn > 0 && r.Mean > p.Warn {
			all = append(
				all,
				FileError{
					c.File,
					c.TenantLines[i],
					fmt.Sprintf(
						"warning: tenant %s can touch %.0f%% of the others' strength, %.0f%% of that of %s",
						r.Tenant,
						100*r.Mean,
						100*r.Most,
						r.With,
					),
					fmt.Sprintf("use more cells or a smaller size, or write warn above %.0f%%", 100*r.Mean),
				}.Error(),
			)
		}
	}
	return all
}
