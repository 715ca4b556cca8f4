package accord

import "strconv"

// The register of a zone holds how many evacuations of it are open and what the last order was: "2b" after a second
// begin, "1f" after one of two finishes. Two operators may empty a zone for reasons of their own at overlapping times,
// and the end of one must not send anything to what the other still empties. An order that is sent again, as calls
// without a clear answer are, must not count twice: orders carry no number, so one that comes within RepeatFor of the
// same order before it is held to be that one over again.

// RepeatFor is a span in milliseconds: a caller without an answer goes on to another controller after a second, and a
// little more each time.
const RepeatFor = 2500

const (
	begun    = 'b'
	finished = 'f'
)

func open(value []byte) (n int, last byte) {
	if len(value) < 2 {
		return 0, finished
	}
	n, _ = strconv.Atoi(string(value[:len(value)-1]))
	return n, value[len(value)-1]
}

// Evacuated says whether a zone's register says that nothing is to be sent there.
func Evacuated(value []byte) bool {
	n, _ := open(value)
	return n > 0
}

// Evacuate is an Amend's Next for an order that begins or finishes an evacuation, at a time of day in milliseconds.
func Evacuate(begins bool, at uint64) func(Register) ([]byte, bool) {
	return func(newest Register) ([]byte, bool) {
		n, last := open(newest.Value)
		soon := at < newest.Stamp.Hi+RepeatFor
		switch {
		case begins && soon && last == begun, !begins && soon && last == finished && newest.Stamp != Stamp{}:
			return newest.Value, true
		case begins:
			n, last = n+1, begun
		default:
			n, last = max(n-1, 0), finished
		}
		return append(strconv.AppendInt(nil, int64(n), 10), last), false
	}
}
