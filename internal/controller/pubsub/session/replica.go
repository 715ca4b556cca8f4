package session

import "errors"

// Replica is the other side of a Session: what took effect with a subscriber. It takes each number once, whatever comes
// again after a cut, from whichever controller.
type Replica struct {
	Epoch     uint64
	Seq       uint32 // the last number that took effect; 0: none
	State     map[string]Value
	Applied   int `cbor:"Effect"` // messages applied
	Unchanged int `cbor:"Same"`   // updates in them that changed nothing
}

// ErrGap says that a change goes on from a number that did not take effect here: the subscriber opens anew.
var ErrGap = errors.New("a change goes on from a number that did not take effect here")

// Apply lets a message take effect, whole; changed are its keys that now stand otherwise. Numbers that took effect
// already are passed over: fresh is false.
func (c *Replica) Apply(m Send) (changed []string, fresh bool, err error) {
	switch {
	case m.Epoch == c.Epoch && c.Seq != 0 && int32(m.Seq-c.Seq) <= 0 && (!m.Snapshot || m.Prev != 0 || m.Seq != 1):
		return nil, false, nil
	case !m.Snapshot && (m.Epoch != c.Epoch || m.Prev != c.Seq || c.Seq == 0):
		return nil, false, ErrGap
	}
	if c.State == nil {
		c.State = map[string]Value{}
	}
	named := map[string]bool{}
	for _, set := range m.Updates {
		named[set.Key] = true
		was, there := c.State[set.Key]
		switch {
		case set.Deleted && there:
			delete(c.State, set.Key)
			changed = append(changed, set.Key)
		case !set.Deleted && (!there || was != set.Value):
			c.State[set.Key] = set.Value
			changed = append(changed, set.Key)
		default:
			c.Unchanged++
		}
	}
	if m.Snapshot {
		for k := range c.State {
			if !named[k] {
				delete(c.State, k)
				changed = append(changed, k)
			}
		}
	}
	c.Epoch, c.Seq = m.Epoch, m.Seq
	c.Applied++
	return changed, true, nil
}
