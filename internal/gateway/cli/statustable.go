package cli

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/routeconfig"
)

const (
	zoneRegisterPrefix = "zone/"
	tablePadding       = 2 // blanks between columns
)

// PrintStatus writes a status for people to read.
func PrintStatus(to io.Writer, s Status) error {
	var b bytes.Buffer
	printSummary(&b, s)
	w := tabwriter.NewWriter(&b, 0, 0, tablePadding, ' ', 0)
	printMembers(w, s)
	_ = w.Flush() // into memory, which does not fail
	printRegisters(w, s)
	_ = w.Flush()
	_, err := to.Write(b.Bytes())
	return err
}

func printSummary(w io.Writer, s Status) {
	contact, votes := "in touch with a majority", "votes"
	if !s.HasQuorum {
		contact = "NOT in touch with a majority: what follows may be old"
	}
	if !s.IsVoter {
		votes = "does not vote"
	}
	fmt.Fprintf(w, "%s: %s; %s\n", s.Self.Name, contact, votes)
	switch {
	case s.Epoch == 0:
		printFounding(w, s.Bootstrap)
	case s.Changing:
		fmt.Fprintf(w, "epoch %d: its voters change\n", s.Epoch)
	default:
		fmt.Fprintf(w, "epoch %d\n", s.Epoch)
	}
	if len(s.ForeignPeers) > 0 {
		fmt.Fprintf(w, "ANOTHER SYSTEM is there: %s; stop one of the two and empty its disks\n", list(s.ForeignPeers))
	}
	if s.ShuttingDown {
		fmt.Fprintf(w, "leaving; not handed over yet: %s\n", list(s.NotHandedOver))
	}
	if len(s.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated: %s\n", list(s.Evacuated))
	}
}

// printFounding says what the first epoch waits for.
func printFounding(w io.Writer, f *consensus.BootstrapStatus) {
	switch {
	case f == nil: // the node's version does not tell
		fmt.Fprintln(w, "no epoch yet: nothing has decided who votes")
	case f.CanBootstrap:
		fmt.Fprintln(w, "no epoch yet: enough disks are in touch to decide who votes")
	case f.SeedsOnly:
		fmt.Fprintf(w, "no epoch yet: %d of the seeds' disks are in touch, %d are needed to decide who votes\n",
			f.Disks, f.Needed)
	default:
		fmt.Fprintf(w, "no epoch yet: %d disks of the first start are in touch, %d are needed to decide who votes\n",
			f.Disks, f.Needed)
	}
}

func printMembers(w io.Writer, s Status) {
	fmt.Fprint(w, "\n\tname\tzone\tdisk\ttouch\tholds\n")
	for _, m := range s.Voters {
		printMember(w, "voter", m)
	}
	for _, m := range s.Learners {
		printMember(w, "learner", m)
	}
	if !s.IsVoter {
		printMember(w, "this one", s.Self)
	}
}

func printMember(w io.Writer, role string, m consensus.MemberStatus) {
	if m.Change != "" {
		role += ", " + m.Change
	}
	contact := "in touch"
	if !m.Responsive {
		contact = fmt.Sprintf("silent %.0f s", m.InactiveSeconds)
	}
	if m.ShuttingDown {
		contact += ", leaving"
	}
	if m.Replaced {
		contact = "gone: its machine has another disk"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", role, m.Name, m.Zone, m.StoreID, contact, holdings(m))
}

// holdings says what of the committed registers a member has on its disk.
func holdings(m consensus.MemberStatus) string {
	switch {
	case m.Replaced:
		return "-"
	case len(m.Missing) > 0:
		return "lacks " + list(m.Missing)
	case len(m.Unconfirmed) > 0:
		return "not heard yet of " + list(m.Unconfirmed)
	case !m.CaughtUp:
		return "not known yet"
	}
	return "all"
}

func printRegisters(w io.Writer, s Status) {
	fmt.Fprint(w, "\nregister\tnewest\tdecided\tknown on\n")
	for _, r := range s.Registers {
		decided := "yes"
		if !r.Chosen {
			decided = "not yet"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\n", r.Name, newestVersion(r), decided, r.Disks, len(s.Voters))
	}
}

// newestVersion is the version of a register as its writer gave it: a generation, or the time of day of an evacuation.
func newestVersion(r consensus.RegisterStatus) string {
	if strings.HasPrefix(r.Name, zoneRegisterPrefix) {
		return time.UnixMilli(int64(r.VersionNumber)).UTC().Format(time.DateTime)
	}
	return routeconfig.FormatVersion(uint32(r.VersionNumber))
}

func list(names []string) string { return strings.Join(names, ", ") }
