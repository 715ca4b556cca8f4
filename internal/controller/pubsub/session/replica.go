package session

import "errors"

// Replica is a subscriber's copy of a topic. It applies each message once, even if the message is sent again after a
// reconnect.
type Replica struct {
	Epoch     uint64 // of the controller that sent the last applied message
	Seq       uint32 // sequence number of the last applied message; 0: none
	State     map[string]Value
	Applied   int `cbor:"Effect"` // messages applied
	Unchanged int `cbor:"Same"`   // updates in those messages that changed nothing
}

// ErrGap reports that a message does not follow the last applied one. The subscriber has to reconnect and request a
// snapshot.
var ErrGap = errors.New("message does not follow the last applied sequence number")

// Apply applies all updates of a message and returns the keys whose values changed. It ignores a message that was
// applied before; fresh is then false.
func (r *Replica) Apply(m Send) (changed []string, fresh bool, err error) {
	switch {
	// A snapshot with sequence number 1 and no predecessor restarts the sequence, so it is never a repeat.
	case m.Epoch == r.Epoch && r.Seq != 0 && int32(m.Seq-r.Seq) <= 0 && (!m.Snapshot || m.Prev != 0 || m.Seq != 1):
		return nil, false, nil
	case !m.Snapshot && (m.Epoch != r.Epoch || m.Prev != r.Seq || r.Seq == 0):
		return nil, false, ErrGap
	}
	if r.State == nil {
		r.State = map[string]Value{}
	}
	inMessage := map[string]bool{}
	for _, update := range m.Updates {
		inMessage[update.Key] = true
		old, exists := r.State[update.Key]
		switch {
		case update.Deleted && exists:
			delete(r.State, update.Key)
			changed = append(changed, update.Key)
		case !update.Deleted && (!exists || old != update.Value):
			r.State[update.Key] = update.Value
			changed = append(changed, update.Key)
		default:
			r.Unchanged++
		}
	}
	if m.Snapshot {
		for k := range r.State {
			if !inMessage[k] {
				delete(r.State, k)
				changed = append(changed, k)
			}
		}
	}
	r.Epoch, r.Seq = m.Epoch, m.Seq
	r.Applied++
	return changed, true, nil
}
