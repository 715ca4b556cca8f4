package consensus

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

// The register of a zone holds how many evacuations of it are open and what the last order was: "2b" after a second
// begin, "1f" after one of two finishes; then, after a colon, the ids of the last orders. Two operators may empty a zone
// for reasons of their own at overlapping times, and the end of one must not send anything to what the other still
// empties: a plain state, empty or not, would. An order that comes again, as calls without a clear answer do, must not
// count twice: a zone would stay empty after its one finish. Orders carry no number, so one of the same kind as the last,
// within the span in which it may come again, is held to be that one. Two operators that begin within that span count as
// one: the first finish of theirs ends both; two that finish within it count as one too, and the zone stays empty until it is
// finished once more. That price is paid knowingly; see docs/control.md.

const (
	begun    = 'b'
	finished = 'f'
	idsKept  = 8
)

func open(value []byte) (n int, last byte, ids []uint64) {
	state, rest, _ := bytes.Cut(value, []byte(":"))
	if len(state) < 2 {
		return 0, finished, nil
	}
	n, _ = strconv.Atoi(string(state[:len(state)-1]))
	for ; len(rest) >= 8; rest = rest[8:] {
		ids = append(ids, binary.BigEndian.Uint64(rest))
	}
	return n, state[len(state)-1], ids
}

// Evacuated says whether a zone's register says that nothing is to be sent there.
func Evacuated(value []byte) bool {
	n, _, _ := open(value)
	return n > 0
}

// Evacuate is what an order to begin or to finish an evacuation means. Id tells it from others: what was decided of it
// already, by a ballot that somebody else ended, is not done again. Within is the span in which callers repeat an order.
// At is the time of day in milliseconds: it says how old an order is where nobody has run since, and is a hint otherwise.
func Evacuate(begins bool, id uint64, within time.Duration, at uint64) Apply {
	return func(holds Register, age Age) (Register, Fate) {
		n, last, ids := open(holds.Value)
		if !age.Known {
			age.Span = max(age.Span, time.Duration(int64(at)-int64(holds.Version.Number))*time.Millisecond)
		}
		kind := byte(finished)
		if begins {
			kind = begun
		}
		again := holds.Version != (Version{}) && last == kind && age.Span < within
		if again || slices.Contains(ids, id) {
			return holds, Taken
		}
		if n = max(n-1, 0); begins {
			n, _, _ = open(holds.Value)
			n++
		}
		value := append(strconv.AppendInt(nil, int64(n), 10), kind, ':')
		ids = append(ids, id)
		for _, i := range ids[max(len(ids)-idsKept, 0):] {
			value = binary.BigEndian.AppendUint64(value, i)
		}
		return Register{Name: holds.Name, Version: Version{Number: max(holds.Version.Number+1, at), ID: id}, Value: value}, Taken
	}
}

// Replace is what an order to replace the configuration means: a higher version sets it, the same one with the same
// bytes is confirmed, a lower one too, as what holds is above it; the same version with other bytes is refused for good.
func Replace(version, digest uint64, value []byte) Apply {
	return func(holds Register, _ Age) (Register, Fate) {
		switch {
		case holds.Version.Number < version || holds.Version == (Version{}):
			return Register{Name: holds.Name, Version: Version{Number: version, ID: digest}, Value: value}, Taken
		case holds.Version.Number == version && !bytes.Equal(holds.Value, value):
			return holds, Refused
		}
		return holds, Taken
	}
}
