package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

// diskRetryInterval is the pause before a write that failed is tried again.
const diskRetryInterval = time.Second

// maxDeferredRequests bounds the Paxos requests that wait for the epoch to be on the disk. More are dropped, as if they
// had been lost on the way; the proposer sends them again.
const maxDeferredRequests = 256

// deferredRequest is a Paxos request that arrived before the epoch was on the disk.
type deferredRequest struct {
	to          string
	epochNumber uint64
	message     rpc.PaxosMessage
}

// pendingWrite is a Persist without its answer. It is of a register's state, of an epoch, or of the disk's identity.
type pendingWrite struct {
	register string // name; empty for the others
	accepted BallotNumber
	inEpoch  uint64          // in which the register's state came about
	answers  []pendingAnswer // that are sent once it is on the disk

	epochNumber uint64 // of the epoch that is written; 0 for the others
	identity    bool
}

// pendingAnswer is an acceptor's answer that waits for the state behind it to be on the disk.
type pendingAnswer struct {
	to     string
	answer rpc.PaxosMessage
}

func (r *Replica) persist(record string, value []byte, w pendingWrite) {
	r.writeSeq++
	r.writes[r.writeSeq] = w
	r.emit(Persist{r.writeSeq, record, value})
}

func (r *Replica) onPersisted(e Persisted) {
	w, known := r.writes[e.Seq]
	if !known {
		return
	}
	delete(r.writes, e.Seq)
	switch {
	case w.identity:
		r.onIdentityWritten(e.Err)
	case w.epochNumber > 0:
		r.onEpochWritten(w.epochNumber, e.Err)
	case w.register != "":
		r.onRegisterWritten(w, e.Err)
	}
}

// onIdentityWritten: the disk has its id, and may vote, only once all records of its identity are written.
func (r *Replica) onIdentityWritten(err error) {
	r.identityWrites--
	r.identityFailed = r.identityFailed || err != nil
	if r.identityWrites > 0 {
		return
	}
	r.identityTriedAt = r.now
	if !r.identityFailed {
		r.identified = true
		r.storedEpoch = max(r.storedEpoch, r.options.State.Epoch.Number)
		r.broadcast(r.stateReport(0))
	}
}

// onEpochWritten answers the Paxos requests that waited for the epoch.
func (r *Replica) onEpochWritten(number uint64, err error) {
	r.epochWrittenAt = r.now
	if err != nil {
		return
	}
	r.storedEpoch = max(r.storedEpoch, number)
	deferred := r.deferred
	r.deferred = nil
	for i := range deferred {
		if d := &deferred[i]; d.epochNumber == r.epoch.Number {
			r.answerAsAcceptor(d.to, r.registerFor(d.message.Register), &d.message)
		}
	}
}
