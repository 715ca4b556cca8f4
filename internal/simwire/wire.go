// Package simwire reads and writes the frames of the simulator's wire and puts the project's own words and
// indices in place of the wire's. It decides nothing.
package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/policy"
)

// Launch starts an instance.
type Launch struct{ Deployment policy.Deployment }

// Stop ends an instance.
type Stop struct{}

// Record is one event of an instance: a Launch, a Stop, or an event of package choice. An event that names a
// backend, proxy or product unknown to the instance is a nil Event.
type Record struct {
	Inst  uint16
	Event any
}

// Batch is what happened at one moment.
type Batch struct {
	Now     policy.Time
	Records []Record
}

type address [6]byte

// door turns one instance's ids into small indices and back.
type door struct {
	backends []address
	index    map[address]int
	proxies  []uint16
	proxyAt  map[uint16]int
	products int
}

func (d *door) backend(a address, add bool) int {
	i, ok := d.index[a]
	if !ok && add {
		i, ok = len(d.backends), true
		d.index[a], d.backends = i, append(d.backends, a)
	}
	if !ok {
		return -1
	}
	return i
}

func (d *door) proxy(id uint16, add bool) int {
	i, ok := d.proxyAt[id]
	if !ok && add {
		i, ok = len(d.proxies), true
		d.proxyAt[id], d.proxies = i, append(d.proxies, id)
	}
	if !ok {
		return -1
	}
	return i
}

// Decoder reads batches.
type Decoder struct {
	r     io.Reader
	doors map[uint16]*door
	body  bytes.Buffer
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r, doors: map[uint16]*door{}} }

const headerSize = 16

var errShort = errors.New("record cut short")

// Next reads the next batch; io.EOF is a clean end of input.
func (d *Decoder) Next() (Batch, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, err
		}
		return Batch{}, errors.New("frame header cut short")
	}
	size, count := binary.BigEndian.Uint32(head[8:]), binary.BigEndian.Uint32(head[12:])
	d.body.Reset()
	// Copied piece by piece, so that a false size costs no more memory than there is input.
	if n, err := io.CopyN(&d.body, d.r, int64(size)); err != nil {
		return Batch{}, fmt.Errorf("frame cut short: %d of %d bytes", n, size)
	}
	b := Batch{Now: policy.Time(binary.BigEndian.Uint64(head[:8]) / 100)}
	c := &cursor{b: d.body.Bytes()}
	for i := range count {
		rec, err := d.record(c)
		if err == nil && c.short {
			err = errShort
		}
		if err != nil {
			return Batch{}, fmt.Errorf("record %d of %d: %w", i+1, count, err)
		}
		b.Records = append(b.Records, rec)
	}
	if len(c.b) > 0 {
		return Batch{}, fmt.Errorf("%d bytes left over after %d records", len(c.b), count)
	}
	return b, nil
}

// cursor takes fields off a body; past its end it gives zeros and sets short.
type cursor struct {
	b     []byte
	short bool
}

func (c *cursor) take(n int) []byte {
	if n > len(c.b) {
		c.short, c.b = true, nil
		return make([]byte, min(n, 8))
	}
	t := c.b[:n]
	c.b = c.b[n:]
	return t
}

func (c *cursor) u8() uint8   { return c.take(1)[0] }
func (c *cursor) u16() uint16 { return binary.BigEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32 { return binary.BigEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64 { return binary.BigEndian.Uint64(c.take(8)) }
func (c *cursor) addr() (a address) {
	copy(a[:], c.take(6))
	return a
}

// real reads an f32; what is not finite or below zero reads as zero.
func (c *cursor) real() float64 {
	v := float64(math.Float32frombits(c.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}

func (c *cursor) micros() policy.Time { return policy.Time(c.u32() / 100) }

func (c *cursor) bytes(n int) []byte {
	if n > len(c.b) {
		c.short, c.b = true, nil
		return nil
	}
	return bytes.Clone(c.take(n))
}

func (c *cursor) load() []float64 {
	n := int(c.u8())
	if n*4 > len(c.b) {
		c.short, c.b = true, nil
		return nil
	}
	var load []float64
	for range n {
		load = append(load, c.real())
	}
	return load
}

// Codes of events.
const (
	inLaunch    = 10
	inMembers   = 20
	inReminder  = 30
	inProbeDone = 40
	inNote      = 50
	inDestroy   = 60
	inUp        = 70
	inDown      = 80
	inTook      = 90
	inRoundup   = 100
	inUsage     = 110
	inRange     = 120
	inLeased    = 130
	inLedger    = 140
)

const entrySize = 23

// Sizes of what is read past, without code and instance.
const (
	rangeSize  = 15
	leasedSize = 3
	ledgerSize = 12
)

func (d *Decoder) record(c *cursor) (Record, error) {
	code, inst := c.u8(), c.u16()
	if c.short {
		return Record{}, errShort
	}
	rec := Record{Inst: inst}
	if code == inLaunch {
		c.u64() // the seed: no decision needs chance
		text := c.bytes(int(c.u32()))
		if c.short {
			return rec, errShort
		}
		flat, err := flatsettings.ParseLines(string(text))
		if err != nil {
			return rec, err
		}
		dep, err := flatsettings.Decode(flat)
		d.doors[inst] = &door{index: map[address]int{}, proxyAt: map[uint16]int{}, products: len(dep.Products)}
		rec.Event = Launch{Deployment: dep}
		return rec, err
	}
	dr := d.doors[inst]
	if dr == nil {
		return rec, fmt.Errorf("event %d for instance %d, which was not launched", code, inst)
	}
	switch code {
	case inMembers:
		c.u64()
		how, n := c.u8(), int(c.u32())
		if how > 3 {
			return rec, fmt.Errorf("unknown kind of list %d", how)
		}
		if n > len(c.b)/entrySize {
			return rec, errShort
		}
		list := policy.ListUpdate{Kind: [...]policy.ListKind{policy.ListChange, policy.ListFailed, policy.ListFull,
			policy.ListCached}[how]}
		for range n {
			e := policy.Entry{Zone: int(c.u8())}
			c.u16() // the cell: no decision needs it
			status := c.u8()
			e.Kind, e.Backend = int(c.u8()), dr.backend(c.addr(), true)
			e.StartedAt, e.Weight = policy.Time(c.u64()/100), c.real()
			if status > 2 {
				return rec, fmt.Errorf("unknown status %d of a backend", status)
			}
			e.Status = [...]policy.Status{policy.Gone, policy.Ready, policy.Draining}[status]
			list.Entries = append(list.Entries, e)
		}
		rec.Event = list
	case inReminder:
		rec.Event = policy.TimerFired{Name: c.u32()}
	case inProbeDone:
		e := policy.ProbeResult{Backend: dr.backend(c.addr(), false)}
		c.u8()
		c.micros()
		e.Load = c.load()
		if e.Backend >= 0 {
			rec.Event = e
		}
	case inNote:
		c.u32()
		c.bytes(int(c.u16())) // notes: none is sent
	case inDestroy:
		delete(d.doors, inst)
		rec.Event = Stop{}
	case inUp:
		c.u8()
		e := policy.ProxyConnected{Zone: int(c.u8()), Rate: c.real()}
		e.Proxy = dr.proxy(c.u16(), true)
		rec.Event = e
	case inDown:
		if p := dr.proxy(c.u16(), false); p >= 0 {
			rec.Event = policy.ProxyDisconnected{Proxy: p}
		}
	case inTook:
		e := policy.MarkerAcked{Proxy: dr.proxy(c.u16(), false)}
		number := c.u64()
		e.Number = int(number & 0xffff)
		c.micros()
		if e.Proxy >= 0 && number <= 0xffff {
			rec.Event = e
		}
	case inRoundup:
		c.u8()
		e := policy.BackendReport{Backend: dr.backend(c.addr(), false)}
		e.Attempts, e.Failed, e.Latency = float64(c.u32()), float64(c.u32()), c.micros()
		c.micros()
		c.load()
		if e.Backend >= 0 {
			rec.Event = e
		}
	case inUsage:
		e := policy.UsageReport{Proxy: dr.proxy(c.u16(), false), Product: int(c.u8())}
		e.Txns, e.Failed, e.Period = float64(c.u32()), float64(c.u32()), c.micros()
		if e.Proxy >= 0 && e.Product < dr.products {
			rec.Event = e
		}
	case inRange: // slices are not served: what comes of them is read past
		c.take(rangeSize)
	case inLeased:
		c.take(leasedSize)
	case inLedger:
		c.take(ledgerSize)
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	return rec, nil
}

// Codes of orders.
const (
	outUse      = 10
	outListen   = 20
	outCordon   = 30
	outNotify   = 40
	outNotifyMe = 50
	outGate     = 60
	outFence    = 70
	outProbe    = 80
	outRemark   = 90
	outBail     = 100
	outDrop     = 110
	outReload   = 120
	outUpsert   = 130
)

const (
	mostText = 1 << 12 // bytes of one remark
	mostWait = policy.Time(70*60) * policy.Second
	toAll    = 0xffff
)

// Reply gathers the orders of a batch.
type Reply struct {
	d     *Decoder
	body  []byte
	count uint32
}

// NewReply starts an empty reply to the batch that d read last.
func NewReply(d *Decoder) *Reply { return &Reply{d: d} }

func (r *Reply) start(code byte, inst uint16) {
	r.count++
	r.body = append(r.body, code)
	r.u16(int(inst))
}

func (r *Reply) u8(v bool) {
	b := byte(0)
	if v {
		b = 1
	}
	r.body = append(r.body, b)
}

func (r *Reply) u16(v int)      { r.body = binary.BigEndian.AppendUint16(r.body, uint16(v)) }
func (r *Reply) u32(v uint32)   { r.body = binary.BigEndian.AppendUint32(r.body, v) }
func (r *Reply) f32(v float64)  { r.u32(math.Float32bits(float32(min(v, math.MaxFloat32)))) }
func (r *Reply) text(s []byte)  { r.u16(len(s)); r.body = append(r.body, s...) }
func (r *Reply) addr(a address) { r.body = append(r.body, a[:]...) }

// Bail says that the decisions of an instance failed.
func (r *Reply) Bail(inst uint16, why string) {
	r.start(outBail, inst)
	r.text([]byte(why[:min(len(why), mostText)]))
}

// Add writes the orders of one instance.
func (r *Reply) Add(inst uint16, orders []policy.Order) {
	d := r.d.doors[inst]
	for _, o := range orders {
		switch o := o.(type) {
		case policy.SetWeight:
			r.start(outUpsert, inst)
			r.u16(o.Table)
			r.addr(d.backends[o.Backend])
			r.f32(o.Weight)
		case policy.ClearTable:
			r.start(outDrop, inst)
			r.u16(o.Table)
		case policy.AssignTable:
			r.start(outUse, inst)
			r.u16(int(d.proxies[o.Proxy]))
			r.u16(o.Table)
			r.u16(int(o.Products))
		case policy.Withdraw:
			r.start(outCordon, inst)
			r.addr(d.backends[o.Backend])
			r.u8(o.Withdrawn)
		case policy.Admission:
			r.start(outGate, inst)
			r.u16(o.Table)
			r.f32(o.RateLimit)
			r.body = append(r.body, byte(o.Retries))
			r.u16(int(o.Products))
		case policy.Marker:
			r.start(outFence, inst)
			r.body = binary.BigEndian.AppendUint64(r.body, uint64(o.Number))
			r.u8(o.All)
		case policy.SetTimer:
			r.start(outNotifyMe, inst)
			r.u32(uint32(min(max(o.Delay, 0), mostWait) * 100))
			r.u32(o.Name)
		case policy.Probe:
			r.start(outProbe, inst)
			r.addr(d.backends[o.Backend])
		case policy.PeerMessage:
			r.start(outNotify, inst)
			to := o.To
			if to == policy.AllPeers {
				to = toAll
			}
			r.u16(to)
			r.text(o.Data)
		case policy.WatchList:
			r.start(outListen, inst)
			r.u8(o.Enabled)
		case policy.ReloadList:
			r.start(outReload, inst)
		case policy.Log:
			r.start(outRemark, inst)
			r.text([]byte(o.Text[:min(len(o.Text), mostText)]))
		default:
			panic(fmt.Sprintf("wire: no code for order %T", o))
		}
	}
}

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(r.body)))
	frame = binary.BigEndian.AppendUint32(frame, r.count)
	n, err := w.Write(append(frame, r.body...))
	return int64(n), err
}
