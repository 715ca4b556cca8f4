package counsel

import (
	"time"

	"elmfold/charter"
	"elmfold/parley"
)

// steering is where the decisions of the zone's controller attach.
type steering struct{ s *Server }

func newSteering(s *Server) *steering                    { return &steering{s: s} }
func (t *steering) configured(c *charter.Charter)        {}
func (t *steering) changed()                             {}
func (t *steering) tick(now time.Duration)               {}
func (t *steering) left(name string)                     {}
func (t *steering) report(c *carrier, m *parley.Message) {}
