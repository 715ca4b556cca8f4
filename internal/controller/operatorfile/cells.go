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

// Cells configures cells and tenants. Plan lacks the fields that come from the platform's settings; see PlanFor.
type Cells struct {
	Plan        tenancy.Plan
	File        string
	TenantLines []int // of the tenant sections, by tenant
}

// Control configures the control socket for operators.
type Control struct{ Path string }

func policyTime(d time.Duration) policy.Time { return policy.Time(d / (100 * time.Microsecond)) }

const (
	maxTenants = 10000
	maxProxies = 100000
)

// parseCells parses a section cells fixed or cells shuffle.
func (p *parser) parseCells(s section) *Cells {
	c := &Cells{Plan: tenancy.DefaultPlan(), File: p.file}
	plan := &c.Plan
	switch mode := strings.Join(s.arguments, " "); mode {
	case "fixed", "shuffle":
		plan.Shuffle = mode == "shuffle"
	default:
		p.addError(s.line, "write cells fixed or cells shuffle", "unknown mode of cells %q", mode)
		return c
	}
	duration := func(into *policy.Time, most time.Duration) rule {
		return rule{1, 1, "30s", func(d directive, w []string) {
			v := -time.Second
			if p.durationRule(&v, time.Second, most).apply(d, w); v >= 0 {
				*into = policyTime(v)
			}
		}}
	}
	rules := map[string]rule{
		"loan":      p.countRule(&plan.MaxLoans, 0, 1000),
		"loan-time": duration(&plan.MinLoanTime, time.Hour),
		"lost":      p.countRule(&plan.MaxLost, 0, 1000),
		"lost-time": duration(&plan.LostWindow, 24*time.Hour),
		"trickle":   p.rateRule(&plan.ContainedRate, 0.01, 1000),
		"settle":    duration(&plan.SettleTime, 10*time.Minute),
		"prepare":   duration(&plan.PrepareTimeout, time.Hour),
		"part":      p.percentRule(&plan.MoveFraction),
		"warn":      p.percentRule(&plan.WarnFraction),
	}
	if plan.Shuffle {
		rules["size"] = p.countRule(&plan.ShardSize, 1, 1000)
	} else {
		rules["cell"] = rule{1, maxListArgs, "NAME", func(d directive, w []string) {
			part := 1.0
			if len(w) == 3 && w[1] == "part" {
				v, err := strconv.ParseFloat(w[2], 64)
				if err != nil || v <= 0 || v > 1000 {
					p.addError(d.line, "write a number above 0, such as: cell blue part 2", "part %q is not valid", w[2])
					return
				}
				part = v
			} else if len(w) != 1 {
				p.addError(d.line, "write cell NAME or cell NAME part 2", "cell has too many arguments: %q", w[1])
				return
			}
			if slices.ContainsFunc(plan.Cells, func(c tenancy.Cell) bool { return c.Name == w[0] }) {
				p.addError(d.line, "remove one of them", "cell %s is listed twice", w[0])
				return
			}
			plan.Cells = append(plan.Cells, tenancy.Cell{Name: w[0], Share: part})
		}}
	}
	errorsBefore := len(p.errors)
	lines := p.parseDirectives(s, rules)
	switch {
	case len(p.errors) > errorsBefore:
	case !plan.Shuffle && len(plan.Cells) < 2:
		p.addError(s.line, "add lines such as: cell blue", "%d cells are too few, at least 2 are required", len(plan.Cells))
	case plan.MoveFraction == 0:
		p.addError(lines["part"], "write a percentage above 0%", "part is 0%%, so a move would never end")
	}
	return c
}

// rateRule accepts a rate per second from least to most.
func (p *parser) rateRule(into *float64, least, most float64) rule {
	return rule{1, 1, "0.5/s", func(d directive, w []string) {
		text, ok := strings.CutSuffix(w[0], "/s")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(v >= least && v <= most) {
			p.addError(d.line, fmt.Sprintf("write a rate from %g/s to %g/s", least, most), "%s %q is not valid", d.name, w[0])
			return
		}
		*into = v
	}}
}

// parseTenant parses a section tenant NAME.
func (p *parser) parseTenant(s section) (t tenancy.Tenant) {
	if len(s.arguments) != 1 {
		p.addError(s.line, "write tenant NAME", "tenant requires exactly one name")
		return t
	}
	t.Name = s.arguments[0]
	lines := p.parseDirectives(s, map[string]rule{
		"cell": p.wordRule(&t.Cell, "blue"),
		"size": p.countRule(&t.ShardSize, 1, 1000),
		"proxies": {1, maxListArgs, "0-4 7", func(d directive, w []string) {
			for _, word := range w {
				from, to, ranged := strings.Cut(word, "-")
				if !ranged {
					to = from
				}
				a, errA := strconv.Atoi(from)
				b, errB := strconv.Atoi(to)
				if errA != nil || errB != nil || a < 0 || b < a || b >= maxProxies {
					p.addError(d.line, "write numbers and ranges, such as: proxies 0-4 7", "proxies %q is not valid", word)
					return
				}
				for i := a; i <= b; i++ {
					t.Proxies = append(t.Proxies, i)
				}
			}
		}},
	})
	if lines["proxies"] == 0 {
		p.addError(s.line, "add a line such as: proxies 0-4", "tenant %s has no proxies", t.Name)
	}
	return t
}

// parseControl parses a control section.
func (p *parser) parseControl(s section) *Control {
	c := &Control{}
	lines := p.parseDirectives(s, map[string]rule{"socket": p.wordRule(&c.Path, "/run/elmfold.sock")})
	if lines["socket"] == 0 {
		p.addError(s.line, "add a line such as: socket /run/elmfold.sock", "control has no socket")
	}
	return c
}

// checkTenants checks the tenants against the cells and stores them in the plan. lines are those of their sections.
func (p *parser) checkTenants(f *File, tenants []tenancy.Tenant, lines []int) {
	if len(tenants) == 0 {
		return
	}
	if f.Cells == nil {
		p.addError(lines[0], "add a section: cells fixed or cells shuffle", "tenant requires a cells section")
		return
	}
	plan := &f.Cells.Plan
	owner := map[int]string{}
	for i, t := range tenants {
		named := func(c tenancy.Cell) bool { return c.Name == t.Cell }
		switch {
		case plan.Shuffle && t.Cell != "":
			p.addError(
				lines[i],
				"remove the line cell, or write cells fixed",
				"tenant %s names a cell, but cells are shuffled",
				t.Name,
			)
		case !plan.Shuffle && t.ShardSize != 0:
			p.addError(
				lines[i],
				"remove the line size, or write cells shuffle",
				"tenant %s has a size, but cells are fixed",
				t.Name,
			)
		case !plan.Shuffle && !slices.ContainsFunc(plan.Cells, named):
			var names []string
			for _, c := range plan.Cells {
				names = append(names, c.Name)
			}
			if len(names) > 0 {
				p.addError(lines[i], suggest(t.Cell, names), "tenant %s is in unknown cell %q", t.Name, t.Cell)
			}
		}
		for _, proxy := range t.Proxies {
			if other, taken := owner[proxy]; taken {
				p.addError(lines[i], "assign it to one of them", "proxy %d is in tenant %s and in tenant %s", proxy, other, t.Name)
				break
			}
			owner[proxy] = t.Name
		}
	}
	if len(tenants) > maxTenants {
		p.addError(lines[maxTenants], "merge some of them", "more than %d tenants", maxTenants)
	}
	plan.Tenants, f.Cells.TenantLines = tenants, lines
}

// PlanFor returns the plan completed with the products, zones and warmup time of the platform's settings.
func (c *Cells) PlanFor(d policy.Deployment) tenancy.Plan {
	plan := c.Plan
	plan.Products, plan.Zones, plan.WarmupTime = d.Products, d.Zones, d.WarmupTime
	return plan
}

// TenantsWithUnknownProxies returns the sorted names of tenants with a proxy number that is not below proxies.
func (c *Cells) TenantsWithUnknownProxies(proxies int) (names []string) {
	tenants := map[string]bool{}
	for _, t := range c.Plan.Tenants {
		for _, proxy := range t.Proxies {
			if proxy >= proxies {
				tenants[t.Name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(tenants))
}

// Validate checks the plan against a backend list. A non-nil error is of type FileErrors.
func (c *Cells) Validate(d policy.Deployment, list []tenancy.Backend) error {
	plan := c.PlanFor(d)
	var fileErrors FileErrors
	for _, l := range plan.Shortfalls(list) {
		fix := "give its cell a larger part, or move it to another cell"
		if plan.Shuffle {
			fix = "give it a larger size"
		}
		fileErrors = append(
			fileErrors,
			FileError{c.File, c.TenantLines[l.Tenant], fmt.Sprintf("tenant %s: %s", plan.Tenants[l.Tenant].Name, l.Reason), fix},
		)
	}
	if len(fileErrors) == 0 {
		return nil
	}
	return fileErrors
}

// Warnings returns a line for each tenant that can affect more of the other tenants' capacity than the warn directive
// allows.
func (c *Cells) Warnings(d policy.Deployment, list []tenancy.Backend) (all []string) {
	plan := c.PlanFor(d)
	radii, _ := plan.BlastRadii(list)
	for i, radius := range radii {
		if plan.WarnFraction > 0 && radius.Mean > plan.WarnFraction {
			all = append(
				all,
				FileError{
					c.File,
					c.TenantLines[i],
					fmt.Sprintf(
						"warning: tenant %s can affect %.0f%% of the other tenants' capacity, %.0f%% of that of %s",
						radius.Tenant,
						100*radius.Mean,
						100*radius.Max,
						radius.MaxTenant,
					),
					fmt.Sprintf("use more cells or a smaller size, or write warn above %.0f%%", 100*radius.Mean),
				}.Error(),
			)
		}
	}
	return all
}
