package consensus

import (
	"bytes"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"time"
)

// Evacuations
//
// The register of a zone holds the number of open evacuations and the kind of the last request: "2b" after a second
// begin, "1f" after one of two finishes. After a colon follow the ids of the last requests, and after a request that
// followed one of the other kind the time between the two. These values are stored and sent to proxies.
//
// Evacuations are counted because two operators may evacuate a zone at overlapping times. The finish of one must not
// end the evacuation of the other.
//
// A retried request must not count twice, or the zone would stay evacuated after its only finish. Clients send no
// request id, so a request of the same kind as the last one, within the retry window, is taken for a retry. As a
// consequence, two operators that begin within the window count as one, and the first finish ends both evacuations. Two
// finishes within the window also count as one, and the zone stays evacuated until another finish. docs/control.md
// explains why this is accepted.
//
// A copy of a request that the network held up may arrive after other requests or after the retry window, and must
// neither undo a request nor count as a second one. How long it was held up is not bounded: only an upper bound of the
// time since it was sent tells it from a new request. So a request is refused as a PossibleDuplicate if it may have
// been sent before the last request was committed or, if both are of one kind, within the retry window after that. The
// client of a request in earnest sends it again, on a new connection, which shows that it was sent later.

const (
	lastBegan        = 'b'
	lastFinished     = 'f'
	maxRememberedIDs = 8
	idBytes          = 8
	gapBytes         = 4 // shorter than an id: versions that do not know of gaps ignore it
	unknownGap       = time.Duration(-1)
	// clockTolerance is how much lower an age by the time of day may be than one by a monotonic clock: the time of day is
	// that of the call, which may wait before it is decided.
	clockTolerance = time.Second
)

// evacuations is the decoded value of a zone's register.
type evacuations struct {
	open int
	last byte     // lastBegan or lastFinished
	ids  []uint64 // of the last requests, oldest first
	// gap is the time from the last request of the other kind to the last request, or unknownGap if there was none. Nodes
	// of earlier versions use its length.
	gap time.Duration
}

func parseEvacuations(value []byte) evacuations {
	state, ids, _ := bytes.Cut(value, []byte(":"))
	if len(state) < 2 {
		return evacuations{last: lastFinished, gap: unknownGap}
	}
	e := evacuations{last: state[len(state)-1], gap: unknownGap}
	e.open, _ = strconv.Atoi(string(state[:len(state)-1])) // 0 if malformed
	for ; len(ids) >= idBytes; ids = ids[idBytes:] {
		e.ids = append(e.ids, binary.BigEndian.Uint64(ids))
	}
	if len(ids) == gapBytes {
		e.gap = time.Duration(binary.BigEndian.Uint32(ids)) * time.Millisecond
	}
	return e
}

func (e evacuations) encode() []byte {
	value := append(strconv.AppendInt(nil, int64(e.open), 10), e.last, ':')
	for _, id := range e.ids[max(len(e.ids)-maxRememberedIDs, 0):] {
		value = binary.BigEndian.AppendUint64(value, id)
	}
	if gapMS := e.gap.Milliseconds(); e.gap != unknownGap && gapMS <= math.MaxUint32 {
		value = binary.BigEndian.AppendUint32(value, uint32(gapMS))
	}
	return value
}

// apply returns the state after a request, which follows the last one by age. isFirst tells that there is no last one.
func (e evacuations) apply(begin bool, id uint64, age time.Duration, isFirst bool) evacuations {
	next := evacuations{open: max(e.open-1, 0), last: lastFinished, gap: unknownGap}
	if begin {
		next.open, next.last = e.open+1, lastBegan
	}
	next.ids = append(slices.Clone(e.ids), id)
	switch {
	case isFirst:
	case next.last != e.last:
		next.gap = age
	case e.gap != unknownGap:
		next.gap = e.gap + age
	}
	return next
}

// mayBeCopy reports whether a request may be a copy of an earlier one: it may have been sent before the last request
// was committed, or, if both are of one kind, within retryWindow after it. age is that of the last request, and
// sentWithin an upper bound of the time since the request was sent.
func (e evacuations) mayBeCopy(kind byte, age, retryWindow, sentWithin time.Duration) bool {
	if kind == e.last {
		return age-sentWithin < retryWindow
	}
	isFirstOfKind := e.gap == unknownGap
	return !isFirstOfKind && age < sentWithin
}

// IsEvacuated reports whether the value of a zone's register says that the zone is evacuated.
func IsEvacuated(value []byte) bool { return parseEvacuations(value).open > 0 }

// HasAppliedEvacuation reports whether the value of a zone's register includes the request with an id. It does not if
// the request was taken for a retry, or if its id is no longer among the last maxRememberedIDs.
func HasAppliedEvacuation(value []byte, id uint64) bool {
	return slices.Contains(parseEvacuations(value).ids, id)
}

// Evacuate returns the change that begins or finishes an evacuation.
//
// id identifies the request, so that it is applied once even if another node has already finished its ballot. A request
// of the same kind as the last one, within retryWindow of it, is a retry. A later one that may have been sent within
// retryWindow is a PossibleDuplicate, and so is one of the other kind that may have been sent before the last one.
// timeOfDay, in ms since 1970, becomes the version. It also gives the age of the last request if no node knows that age
// exactly; if it contradicts the lower bound that is known, a request that may be a retry is a PossibleDuplicate too.
// sentWithin returns an upper bound of the time since the request was sent.
func Evacuate(
	begin bool, id uint64, retryWindow time.Duration, timeOfDay uint64, sentWithin func() time.Duration,
) ChangeFunc {
	return func(committed Register, age Age) (Register, Outcome) {
		current := parseEvacuations(committed.Value)
		isAgeUnknown := false
		if !age.Exact {
			byClock := time.Duration(int64(timeOfDay)-int64(committed.Version.Number)) * time.Millisecond
			isAgeUnknown = byClock+clockTolerance < age.Duration // the clocks differ by more than that
			age.Duration = max(age.Duration, byClock)
		}
		isFirst := committed.Version == (Version{})
		next := current.apply(begin, id, age.Duration, isFirst)
		isRetry := !isFirst && current.last == next.last && age.Duration < retryWindow
		switch {
		case slices.Contains(current.ids, id):
			return committed, Committed
		case isRetry && isAgeUnknown:
			return committed, PossibleDuplicate
		case isRetry:
			return committed, Committed
		case !isFirst && current.mayBeCopy(next.last, age.Duration, retryWindow, sentWithin()):
			return committed, PossibleDuplicate
		}
		return Register{
			Name:    committed.Name,
			Version: Version{Number: max(committed.Version.Number+1, timeOfDay), ID: id},
			Value:   next.encode(),
		}, Committed
	}
}

// ReplaceConfig returns the change that replaces the configuration. A higher version replaces the committed one. A
// lower version, or the same version with the same body, is confirmed without a change. The same version with another
// body is a Conflict.
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
