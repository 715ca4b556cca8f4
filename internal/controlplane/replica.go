package controlplane

import (
	"fmt"
	"strings"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/controlplane/sharding"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
)

// step passes events to the replica and executes the resulting actions in order.
func (s *Server) step(events ...consensus.Event) {
	for _, action := range s.replica.Step(s.now(), events...) {
		s.execute(action)
	}
	s.updateQuorum()
	s.scheduleDeadline()
}

func (s *Server) execute(action consensus.Action) {
	switch a := action.(type) {
	case consensus.Persist:
		s.options.Disk.PutAsync(a.Record, a.Value, func(err error) {
			s.queue.Post(func() { s.onPersisted(a, err) })
		})
	case consensus.Send:
		if p := s.peers[a.To]; p != nil && p.conn != nil {
			p.conn.Send(a.Message)
		}
	case consensus.ValueCommitted:
		s.onCommitted(a.Register)
	case consensus.EpochEntered:
		s.onEpochEntered(a.Epoch)
	case consensus.RequestDone:
		if s.sharding.onRequestDone(a) {
			return
		}
		if done := s.requests[a.RequestID]; done != nil {
			delete(s.requests, a.RequestID)
			done <- a
		}
	case consensus.ForeignPeerFound:
		s.log.Error("peer belongs to another cluster: stop one of the two clusters and erase its disks",
			logfield.Peer, a.Name, logfield.FoundingID, fmt.Sprintf("%016x", a.ClusterID))
	case consensus.HandedOver:
		close(s.handedOver)
	}
}

func (s *Server) onPersisted(written consensus.Persist, err error) {
	if err != nil {
		s.log.Error("writing a record failed", logfield.Record, written.Record, logfield.Error, err)
	}
	s.step(consensus.Persisted{Seq: written.Seq, Err: err})
}

// scheduleDeadline schedules a call of step if the next deadline of the replica is before the next tick.
func (s *Server) scheduleDeadline() {
	next := s.replica.NextDeadline()
	isEarlier := s.deadline == 0 || next < s.deadline
	if !isEarlier || next >= s.now()+tickInterval {
		return
	}
	s.deadline = next
	s.options.Clock.AfterFunc(next-s.now(), func() {
		s.queue.Post(func() {
			if s.deadline == next { // otherwise an earlier deadline has replaced this one
				s.deadline = 0
			}
			s.step()
		})
	})
}

// hasQuorumNow reports whether this node has quorum contact, evaluated at the current time.
func (s *Server) hasQuorumNow() bool { return s.replica.HasQuorum(s.now()) }

// updateQuorum handles changes of quorum contact. When contact is established, it sends the registers to proxies, since
// they are now known to be current.
func (s *Server) updateQuorum() {
	hasQuorum := s.hasQuorumNow()
	if hasQuorum == s.hasQuorum {
		return
	}
	s.hasQuorum, s.hadQuorum = hasQuorum, true
	epoch := s.replica.Epoch().Number
	if !hasQuorum {
		s.log.Warn("quorum contact lost", logfield.Epoch, epoch)
		return
	}
	s.log.Info("quorum contact established", logfield.Epoch, epoch)
	s.broadcastToProxies(s.registerSnapshot())
}

// onEpochEntered handles a change of the voters.
func (s *Server) onEpochEntered(e rpc.Epoch) {
	names := make([]string, 0, len(e.Voters))
	for _, v := range e.Voters {
		names = append(names, v.Name)
	}
	s.log.Info("epoch entered", logfield.Epoch, e.Number, logfield.Voters, strings.Join(names, " "),
		logfield.Changing, e.IsJoint())
	s.connectVoters(e)
	s.broadcastToProxies(&rpc.Message{Consensus: rpc.Consensus{Epoch: &e}})
}

func (s *Server) connectVoters(e rpc.Epoch) {
	for _, v := range e.AllVoters() {
		s.dialer.Connect(v.Address)
	}
}

// onCommitted announces a committed value to proxies. The configuration is announced by its version only, and proxies
// fetch it from the nearest node that has it; values of other registers are small and included.
func (s *Server) onCommitted(r rpc.Register) {
	if isShardRegister(r.Name) {
		if r.Name == sharding.LeaseRegister {
			s.sharding.assigner.Observe(s.now(), r)
		}
		return
	}
	s.log.Info("value committed", logfield.Register, r.Name, logfield.Version, r.Version.Number)
	update := rpc.RegisterUpdate{CommittedVersions: map[string]rpc.Version{r.Name: r.Version}}
	if r.Name == configRegister {
		config, err := routeconfig.Parse(r.Value)
		if err != nil { // unexpected: it was validated before it was proposed
			s.log.Error("committed configuration cannot be parsed", logfield.Error, err)
			return
		}
		for _, setting := range config.Unsupported {
			s.log.Warn("a setting of the configuration is not supported", logfield.Setting, setting)
		}
		s.steering.configure(config)
		s.sharding.configure(config)
	} else {
		update.CommittedValues = []rpc.Register{r}
		s.endpointsChanged()
	}
	s.broadcastToProxies(&rpc.Message{RegisterUpdate: update})
}

// evacuatedZones returns the zones that get no traffic.
func (s *Server) evacuatedZones() map[string]bool {
	zones := map[string]bool{}
	for _, name := range s.replica.RegisterNames() {
		zone, isZone := strings.CutPrefix(name, zoneRegisterPrefix)
		if !isZone {
			continue
		}
		if r, committed := s.replica.CommittedValue(name); committed && consensus.IsEvacuated(r.Value) {
			zones[zone] = true
		}
	}
	return zones
}
