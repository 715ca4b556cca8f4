package controlplane

import (
	"encoding/json"
	"maps"
	"slices"

	"elmfold/internal/gateway/cli"
)

// status tells how the core stands as this controller sees it, also while it is out of touch: then it says so.
func (s *Server) status() ([]byte, error) {
	got := make(chan cli.Status, 1)
	done := make(chan error, 1)
	s.queue.Do(func() {
		got <- cli.Status{Status: s.replica.Status(s.now()), Evacuated: slices.Sorted(maps.Keys(s.evacuated()))}
		done <- nil
	})
	if err := s.wait(done); err != nil {
		return nil, err
	}
	return json.Marshal(<-got)
}
