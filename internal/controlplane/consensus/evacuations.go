package consensus

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

// Evacuations
//
// The register of a zone holds how many evacuations of it are open and what the last order was: "2b" after a second
// begin, "1f" after one of two finishes; then, after a colon, the ids of the last orders. These values are stored, and
// sent to proxies.
//
// Two operators may evacuate a zone for reasons of their own at overlapping times, and the end of one must not send
// anything to what the other still evacuates. A plain state, evacuated or not, would; so evacuations are counted.
//
// An order that is repeated, as callers do without a clear answer, must not count twice: the zone would stay
// evacuated after its one finish. Orders carry no number, so an order of the same kind as the last, within the time
// in which it may be repeated, is taken for that one. Two operators that begin within that time count as one, and
// the first finish ends both; two that finish within it count as one too, and the zone stays evacuated until it is
// finished once more. That price is paid knowingly; see docs/control.md.

const (
	lastBegan        = 'b'
	lastFinished     = 'f'
	maxRememberedIDs = 8
	idBytes          = 8
)

// evacuations is the value of a zone's register.
type evacuations struct {
	open int
	last byte     // lastBegan or lastFinished
	ids  []uint64 // of the last orders, the oldest first
}

func parseEvacuations(value []byte) evacuations {
	state, ids, _ := bytes.Cut(value, []byte(":"))
	if len(state) < 2 {
		return evacuations{last: lastFinished}
	}
	e := evacuations{last: state[len(state)-1]}
	e.open, _ = strconv.Atoi(string(state[:len(state)-1])) // 0 for what is no number; only encode writes it
	for ; len(ids) >= idBytes; ids = ids[idBytes:] {
		e.ids = append(e.ids, binary.BigEndian.Uint64(ids))
	}
	return e
}

func (e evacuations) encode() []byte {
	value := append(strconv.AppendInt(nil, int64(e.open), 10), e.last, ':')
	for _, id := range e.ids[max(len(e.ids)-maxRememberedIDs, 0):] {
		value = binary.BigEndian.AppendUint64(value, id)
	}
	return value
}

// apply is the state after an order.
func (e evacuations) apply(begin bool, id uint64) evacuations {
	next := evacuations{open: max(e.open-1, 0), last: lastFinished}
	if begin {
		next.open, next.last = e.open+1, lastBegan
	}
	next.ids = append(slices.Clone(e.ids), id)
	return next
}

// IsEvacuated reports whether the value of a zone's register says that nothing is to be sent there.
func IsEvacuated(value []byte) bool { return parseEvacuations(value).open > 0 }

// HasAppliedEvacuation reports whether an order counts in the value of a zone's register. One that was committed and does
// not was taken for a repetition of the last one of its kind, or lies further back than ids are kept.
func HasAppliedEvacuation(value []byte, id uint64) bool {
	return slices.Contains(parseEvacuations(value).ids, id)
}

// Evacuate is the meaning of an order to begin or to finish an evacuation.
//
// id tells the order from others: if it was committed already, by a ballot that somebody else finished, it is not done
// again. repeatWindow is the time in which callers repeat an order. timeOfDay is in ms since 1970: it tells the age of
// the last order where nobody has run since, and is a hint otherwise.
func Evacuate(begin bool, id uint64, repeatWindow time.Duration, timeOfDay uint64) ChangeFunc {
	return func(committed Register, age Age) (Register, Outcome) {
		current := parseEvacuations(committed.Value)
		if !age.Exact {
			byClock := time.Duration(int64(timeOfDay)-int64(committed.Version.Number)) * time.Millisecond
			age.Duration = max(age.Duration, byClock)
		}
		next := current.apply(begin, id)
		isRepetition := committed.Version != (Version{}) && current.last == next.last && age.Duration < repeatWindow
		if isRepetition || slices.Contains(current.ids, id) {
			return committed, Committed
		}
		return Register{
			Name:    committed.Name,
			Version: Version{Number: max(committed.Version.Number+1, timeOfDay), ID: id},
			Value:   next.encode(),
		}, Committed
	}
}

// ReplaceConfig is the meaning of an order to replace the configuration. A higher version replaces the committed
// one. The same version with the same body is confirmed; so is a lower one, as what is committed is above it. The
// same version with another body is a conflict, for good.
func ReplaceConfig(version, digest uint64, body []byte) ChangeFunc {
	return func(committed Register, _ Age) (Register, Outcome) {
		switch {
		case committed.Version.Number < version || committed.Version == (Version{}):
			return Register{
				Name:    committed.Name,
				Version: Version{Number: version, ID: digest},
				Value:   body,
			}, Committed
		case committed.Version.Number == version && !bytes.Equal(committed.Value, body):
			return committed, Conflict
		}
		return committed, Committed
	}
}
