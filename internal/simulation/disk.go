package simulation

import (
	"bytes"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"elmfold/internal/controlplane/storage"
	"elmfold/internal/gateway/apierror"
)

// Disk is one machine's. It outlives the processes that open it.
type Disk struct {
	mu     sync.Mutex
	sync   time.Duration // of one write
	live   map[string][]byte
	before []map[string][]byte // what stood here before each of the last writes
	full   bool
	hangs  time.Time // until then nothing is written
	queue  []put
	busy   bool                // a write has its turn
	hooks  []func(before bool) // called around each write that succeeds, without the lock; see World.AtWrite
}

// NewDisk makes an empty one.
func NewDisk(sync time.Duration) *Disk { return &Disk{sync: sync, live: map[string][]byte{}} }

// Full lets writes fail.
func (d *Disk) Full(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// Hang lets writes wait for a span from now on.
func (d *Disk) Hang(span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangs = time.Now().Add(span)
}

// Wipe loses all of it.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live, d.before = map[string][]byte{}, nil
}

// Tear takes the last writes back. Noticed: their remains are found by their checksums, and the marker is gone, as
// with a log whose tail is torn; else the disk looks as it did then.
func (d *Disk) Tear(writes int, noticed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := len(d.before); k > 0 {
		d.live = d.before[max(k-writes, 0)]
		d.before = nil
	}
	if noticed {
		delete(d.live, storage.CompleteMarker)
	}
}

// handle is a process's use of a disk; it is a counsel.Disk.
type handle struct {
	d    *Disk
	host *Host
}

// Open says as well whether the disk never forgot anything, and whether it is empty.
func (d *Disk) Open(h *Host) (o *handle, known, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known = d.live[storage.CompleteMarker]
	return &handle{d, h}, known, len(d.live) == 0
}

func (o *handle) All() map[string][]byte {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	all := map[string][]byte{}
	for name, v := range o.d.live {
		if name != storage.CompleteMarker {
			all[name] = bytes.Clone(v)
		}
	}
	return all
}

type put struct {
	o     *handle
	name  string
	value []byte
	done  func(error)
}

// PutAsync writes one after the other, each in the time of a sync.
func (o *handle) PutAsync(name string, value []byte, done func(error)) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if o.d.queue = append(o.d.queue, put{o, name, bytes.Clone(value), done}); !o.d.busy {
		o.d.busy = true
		time.AfterFunc(o.d.sync, o.d.write)
	}
}

var errFull = errors.New("no space left on device")

// write is the turn of the first that waits.
func (d *Disk) write() {
	d.mu.Lock()
	if left := time.Until(d.hangs); left > 0 {
		time.AfterFunc(left, d.write)
		d.mu.Unlock()
		return
	}
	if len(d.queue) == 0 {
		d.busy = false
		d.mu.Unlock()
		return
	}
	hooks, full := d.hooks, d.full
	d.mu.Unlock()
	for _, hook := range hooks {
		if !full {
			hook(true)
		}
	}
	d.mu.Lock()
	if len(d.queue) == 0 { // the machine lost its power just before it
		d.busy = false
		d.mu.Unlock()
		return
	}
	p := d.queue[0]
	if d.queue = d.queue[1:]; len(d.queue) > 0 {
		time.AfterFunc(d.sync, d.write)
	} else {
		d.busy = false
	}
	var err error
	select {
	case <-p.o.host.gone:
		d.mu.Unlock()
		return
	default:
	}
	if d.full {
		err = apierror.New(apierror.NotDurable, "disk", errFull)
	} else {
		d.keep(p)
	}
	d.mu.Unlock()
	for _, hook := range hooks {
		if err == nil {
			hook(false)
		}
	}
	select {
	case <-p.o.host.gone: // it is there, and nobody was told
	default:
		p.done(err)
	}
}

// keep lets a value last. The lock is held.
func (d *Disk) keep(p put) {
	if d.before = append(d.before, maps.Clone(d.live)); len(d.before) > 16 {
		d.before = d.before[1:]
	}
	d.live[p.name] = p.value
}

// lose is what the end of a process leaves of what it had not synced: of the writes in their order some first ones, as
// each is appended to one file, and nobody was told of them.
func (d *Disk) lose(h *Host, r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	waits := d.queue[:0:0]
	lasts := !d.full && !time.Now().Before(d.hangs)
	for _, p := range d.queue {
		if p.o.host != h {
			waits = append(waits, p)
		} else if lasts = lasts && r.IntN(2) == 0; lasts {
			d.keep(p)
		}
	}
	d.queue = waits
}

// Size is the number of records, and their bytes.
func (d *Disk) Size() (records, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, v := range d.live {
		size += len(name) + len(v)
	}
	return len(d.live), size
}

// writes are those that Tear can take back.
func (d *Disk) writes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.before)
}
