package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/routeconfig"
)

// Status is a controller's answer to core.status.
type Status struct {
	consensus.Status
	Evacuated []string `json:"evacuated"` // zones, as far as it knows
}

const (
	statusCall   = "/v1/rpc?call=core.status"
	statusWithin = 2 * time.Second
	statusMost   = 1 << 20
)

// unreached is an end with Bad: nobody answered.
type unreached struct{ error }

type statusCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"a controller's control address; left out: the own settings' or, of a carrier, a seed's"`
	} `positional-args:"yes"`
	out io.Writer
}

// Execute asks a controller how the core stands.
func (c *statusCommand) Execute([]string) error {
	addresses := []string{c.Args.Address}
	if c.Args.Address == "" {
		settings, err := bootconfig.FromEnvironment()
		if err != nil {
			return err
		}
		if addresses = settings.Seeds; settings.Listen["control"] != "" {
			addresses = []string{settings.Listen["control"]}
		}
	}
	var failed []string
	for _, address := range addresses {
		s, err := askStatus(address)
		if err == nil {
			return PrintStatus(c.out, s)
		}
		failed = append(failed, fmt.Sprintf("%s: %v", address, err))
	}
	return unreached{errors.New("no controller is reached: " + strings.Join(failed, "; "))}
}

func askStatus(address string) (s Status, err error) {
	client := http.Client{Timeout: statusWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+address+statusCall, "application/json", nil)
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	if err != nil {
		return s, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return s, errors.New(answer.Status)
	}
	return s, json.NewDecoder(io.LimitReader(answer.Body, statusMost)).Decode(&s)
}

// PrintStatus writes a table for people.
func PrintStatus(to io.Writer, s Status) error {
	touch, votes := "in touch with a majority", "votes"
	if !s.InTouch {
		touch = "NOT in touch with a majority: what follows may be old"
	}
	if !s.Votes {
		votes = "does not vote"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s; %s\n", s.Me.Name, touch, votes)
	switch {
	case s.Epoch == 0:
		b.WriteString("no epoch yet: the seeds have not decided who votes\n")
	case s.Changing:
		fmt.Fprintf(&b, "epoch %d: its voters change\n", s.Epoch)
	default:
		fmt.Fprintf(&b, "epoch %d\n", s.Epoch)
	}
	if s.Leaving {
		fmt.Fprintf(&b, "leaving; not handed over yet: %s\n", join(s.Missing))
	}
	if len(s.Evacuated) > 0 {
		fmt.Fprintf(&b, "evacuated: %s\n", join(s.Evacuated))
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "\n\tname\tzone\tdisk\ttouch\tholds\n")
	for _, m := range s.Voters {
		printMember(w, "voter", m)
	}
	for _, m := range s.Learners {
		printMember(w, "learner", m)
	}
	if !s.Votes {
		printMember(w, "this one", s.Me)
	}
	_ = w.Flush()
	fmt.Fprint(w, "\nregister\tnewest\tdecided\tknown on\n")
	for _, r := range s.Registers {
		newest, decided := routeconfig.FormatVersion(uint32(r.Hi)), "yes"
		if strings.HasPrefix(r.Name, "zone/") { // counted by the time of day of the order
			newest = time.UnixMilli(int64(r.Hi)).UTC().Format(time.DateTime)
		}
		if !r.Chosen {
			decided = "not yet"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\n", r.Name, newest, decided, r.Disks, len(s.Voters))
	}
	_ = w.Flush()
	_, err := io.WriteString(to, b.String())
	return err
}

func printMember(w io.Writer, kind string, m consensus.MemberStatus) {
	if m.Change != "" {
		kind += ", " + m.Change
	}
	touch, holds := "in touch", "all"
	if !m.InTouch {
		touch = fmt.Sprintf("silent %.0f s", m.SilentS)
	}
	if m.Leaving {
		touch += ", leaving"
	}
	switch {
	case m.Gone:
		touch, holds = "gone: its machine has another disk", "-"
	case len(m.Lacks) > 0:
		holds = "lacks " + join(m.Lacks)
	case len(m.Unheard) > 0:
		holds = "not heard yet of " + join(m.Unheard)
	case !m.Whole:
		holds = "not known yet"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", kind, m.Name, m.Zone, m.Disk, touch, holds)
}

func join(names []string) string { return strings.Join(names, ", ") }
