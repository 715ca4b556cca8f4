package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

// diskRetryInterval is the delay before a failed write is retried.
const diskRetryInterval = time.Second

// maxDeferredRequests bounds the Paxos requests that wait until the epoch is on disk. Further requests are dropped and
// sent again by their proposers.
const maxDeferredRequests = 256

// deferredRequest is a Paxos request that arrived before the current epoch was on disk.
type deferredRequest struct {
	to          string // the proposer
	epochNumber uint64
	message     rpc.PaxosMessage
}

// pendingWrite is a write in progress: of a register's state, of an epoch, or of the disk's identity.
type pendingWrite struct {
	register string          // name; empty unless a register's state is written
	accepted BallotNumber    // the accepted ballot in that state
	inEpoch  uint64          // the epoch of that state
	answers  []pendingAnswer // sent once that state is on disk

	epochNumber uint64 // 0 unless an epoch is written
	identity    bool
}

// pendingAnswer is an acceptor's answer that waits until the state behind it is on disk.
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

// onIdentityWritten marks the disk as identified, so that it may vote, once all records of its identity are on disk.
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
