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
	tablePadding       = 2 // spaces between columns
)

// PrintStatus writes a status as human-readable text.
func PrintStatus(out io.Writer, s Status) error {
	var b bytes.Buffer
	printSummary(&b, s)
	w := tabwriter.NewWriter(&b, 0, 0, tablePadding, ' ', 0)
	printMembers(w, s)
	_ = w.Flush() // cannot fail: it writes to memory
	printRegisters(w, s)
	_ = w.Flush()
	printShards(w, s.Shards)
	_ = w.Flush()
	_, err := out.Write(b.Bytes())
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
		printBootstrap(w, s.Bootstrap)
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

// printBootstrap prints what the first epoch still needs.
func printBootstrap(w io.Writer, b *consensus.BootstrapStatus) {
	switch {
	case b == nil: // the node runs a version that does not report it
		fmt.Fprintln(w, "no epoch yet: nothing has decided who votes")
	case b.CanBootstrap:
		fmt.Fprintln(w, "no epoch yet: enough disks are in touch to decide who votes")
	case b.SeedsOnly:
		fmt.Fprintf(w, "no epoch yet: %d of the seeds' disks are in touch, %d are needed to decide who votes\n",
			b.Disks, b.Needed)
	default:
		fmt.Fprintf(w, "no epoch yet: %d disks of the first start are in touch, %d are needed to decide who votes\n",
			b.Disks, b.Needed)
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
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", role, m.Name, m.Zone, m.StoreID, contact,
		describeReplication(m))
}

// describeReplication says which of the committed registers a member has on its disk.
func describeReplication(m consensus.MemberStatus) string {
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\n", r.Name, formatNewestVersion(r), decided, r.Disks, len(s.Voters))
	}
}

// formatNewestVersion returns the time of an evacuation, or the generation of any other register.
func formatNewestVersion(r consensus.RegisterStatus) string {
	if strings.HasPrefix(r.Name, zoneRegisterPrefix) {
		return time.UnixMilli(int64(r.VersionNumber)).UTC().Format(time.DateTime)
	}
	return routeconfig.FormatVersion(uint32(r.VersionNumber))
}

func list(names []string) string { return strings.Join(names, ", ") }
