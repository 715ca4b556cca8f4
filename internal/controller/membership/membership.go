// Package membership says which instances there are, and carries words between them. Who is there is found out by
// SWIM with Lifeguard's additions (hashicorp/memberlist): each probes a few others a second, suspects before it
// takes one for dead, and doubts itself first where its own probes fail. On top of it: sites, incarnations,
// instances that are reached by other addresses than they know, and halves that find each other again.
// docs/notes/spread.md says why.
package membership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	stdlog "log"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Config is what an instance is told of its fleet.
type Config struct {
	Name   string
	Site   string
	Listen string            // HOST:PORT, for datagrams and connections; HOST is an IPv4 address
	Join   []string          // HOST:PORT of some others
	Via    map[string]string // by name: HOST:PORT at which one is reached in place of where it listens
}

// Peer is another instance, or this one.
type Peer struct {
	Name        string `cbor:"-"`
	Site        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // ns since 1970 of its start: a later one is a later life
	StreamAddr  string `cbor:"3,keyasint"` // HOST:PORT where it takes connections of ours; empty: none
}

const (
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	// seekEvery is the pause between two looks for others that are not there, and joinTimeout how long one that does not
	// answer is waited for; meanwhile others are tried.
	seekEvery     = time.Second
	joinTimeout   = time.Second
	forgetTimeout = time.Hour // ... until then
	seekAtOnce    = 3
	mostBody      = 60 << 10 // of a datagram
)

// frame is what goes between instances.
type frame struct {
	From string `cbor:"1,keyasint"`
	Kind uint8  `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// Fleet is an instance's view of all of them.
type Fleet struct {
	plan Config
	self Peer
	list *memberlist.Memberlist
	log  *logrus.Entry
	stop context.CancelFunc
	done chan struct{}

	mu       sync.Mutex
	peers    map[string]Peer
	away     map[string]gone // that were there
	joining  map[string]bool // addresses that are being tried
	handlers map[uint8]func(from string, body []byte)
	changed  []func([]Peer)
}

type gone struct {
	addr, streams string
	at            time.Time
}

// Open begins to take part. transport is for tests; nil is the network.
func Open(p Config, streams string, transport memberlist.Transport, log *logrus.Entry) (*Fleet, error) {
	f := &Fleet{
		plan:     p,
		self:     Peer{Name: p.Name, Site: p.Site, Incarnation: uint64(time.Now().UnixNano()), StreamAddr: streams},
		log:      log,
		peers:    map[string]Peer{},
		away:     map[string]gone{},
		joining:  map[string]bool{},
		handlers: map[uint8]func(string, []byte){},
		done:     make(chan struct{}),
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.ProbeInterval, c.ProbeTimeout, c.TCPTimeout = p.Name, probeEvery, probeTimeout, joinTimeout
	c.Logger = stdlog.New(io.Discard, "", 0)
	c.Delegate, c.Events, c.Conflict = hands{f}, hands{f}, hands{f}
	c.DeadNodeReclaimTime = time.Second // one that comes again under its name may do so at another address
	if transport == nil {
		host, port, err := net.SplitHostPort(p.Listen)
		n, bad := strconv.Atoi(port)
		if err != nil || bad != nil {
			return nil, fmt.Errorf("member listen %q is no HOST:PORT", p.Listen)
		}
		inner, err := memberlist.NewNetTransport(
			&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: c.Logger},
		)
		if err != nil {
			return nil, err
		}
		c.BindAddr, c.BindPort = host, inner.GetAutoBindPort()
		c.AdvertiseAddr, c.AdvertisePort = host, inner.GetAutoBindPort()
		transport = via{inner, p.Via}
	}
	c.Transport = transport
	var err error
	if f.list, err = memberlist.Create(c); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	go f.seek(ctx)
	return f, nil
}

// Close leaves without a word, as a crash does; others find out.
func (f *Fleet) Close() {
	f.stop()
	<-f.done
	_ = f.list.Shutdown()
}

// Self is this instance.
func (f *Fleet) Self() Peer { return f.self }

// Addr is where it listens.
func (f *Fleet) Addr() string { return f.list.LocalNode().Address() }

// Peers are all that are there, this one too, by name.
func (f *Fleet) Peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sorted()
}

func (f *Fleet) sorted() []Peer {
	return slices.SortedFunc(maps.Values(f.peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
}

// Watch has a function called with all at each change from now on, and once at once. It must not wait.
func (f *Fleet) Watch(do func([]Peer)) {
	f.mu.Lock()
	f.changed = append(f.changed, do)
	all := f.sorted()
	f.mu.Unlock()
	do(all)
}

// Handle has a function called with each word of a kind; it must not wait.
func (f *Fleet) Handle(kind uint8, do func(from string, body []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[kind] = do
}

var errAway = errors.New("not there")

// Send hands a word to one that is there, once at most: it may be lost. Words over 60 kB go by a connection.
func (f *Fleet) Send(to string, kind uint8, body any) error {
	inner, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	raw, err := cbor.Marshal(frame{f.plan.Name, kind, inner})
	if err != nil {
		return err
	}
	for _, n := range f.list.Members() {
		if n.Name == to {
			if len(raw) < mostBody {
				return f.list.SendBestEffort(n, raw)
			}
			return f.list.SendReliable(n, raw)
		}
	}
	return fmt.Errorf("%s: %w", to, errAway)
}

// seek joins those that are not there, at moments of its own: who starts, and halves that were cut off from each other.
func (f *Fleet) seek(ctx context.Context) {
	defer close(f.done)
	var joins sync.WaitGroup
	defer joins.Wait()
	h := fnv.New32a()
	h.Write([]byte(f.plan.Name))
	pause := time.Duration(h.Sum32()%1000) * seekEvery / 4000
	for turn := 0; ; turn++ {
		for _, address := range f.missing(turn) {
			joins.Go(func() { f.join(address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(seekEvery + pause):
		}
	}
}

// join tries an address, unless that is under way. Tried one after the other, those that do not answer would hold up
// the one that does.
func (f *Fleet) join(address string) {
	f.mu.Lock()
	isTried := f.joining[address]
	f.joining[address] = true
	f.mu.Unlock()
	if isTried {
		return
	}
	_, _ = f.list.Join([]string{address}) // one that fails is tried again
	f.mu.Lock()
	delete(f.joining, address)
	f.mu.Unlock()
}

// missing are some addresses at which somebody should be: of the plan, and of those that went.
func (f *Fleet) missing(turn int) (todo []string) {
	there := map[string]bool{}
	for _, n := range f.list.Members() {
		there[n.Address()] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	if len(there) < 2 || turn%4 == 0 {
		for _, a := range f.plan.Join {
			if !there[a] {
				all = append(all, a)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.away)) {
		if time.Since(f.away[name].at) > forgetTimeout {
			delete(f.away, name)
		} else if a := f.away[name].addr; !there[a] && !slices.Contains(all, a) {
			all = append(all, name+"/"+a) // by name, so that it is reached as the plan says
		}
	}
	for i := range min(seekAtOnce, len(all)) {
		todo = append(todo, all[(turn*seekAtOnce+i)%len(all)])
	}
	return todo
}

// hands are what the library calls; none of them waits.
type hands struct{ f *Fleet }

func (h hands) NodeMeta(limit int) []byte {
	meta, err := cbor.Marshal(h.f.self)
	if err != nil || len(meta) > limit {
		return nil
	}
	return meta
}

func (h hands) NotifyMsg(raw []byte) {
	var m frame
	if cbor.Unmarshal(raw, &m) != nil {
		return
	}
	h.f.mu.Lock()
	do := h.f.handlers[m.Kind]
	h.f.mu.Unlock()
	if do != nil {
		do(m.From, m.Body)
	}
}

func (h hands) GetBroadcasts(int, int) [][]byte { return nil }
func (h hands) LocalState(bool) []byte          { return nil }
func (h hands) MergeRemoteState([]byte, bool)   {}

func (h hands) NotifyJoin(n *memberlist.Node)   { h.f.is(n, true) }
func (h hands) NotifyUpdate(n *memberlist.Node) { h.f.is(n, true) }
func (h hands) NotifyLeave(n *memberlist.Node)  { h.f.is(n, false) }

// NotifyConflict names two that live under one name: the operators' fault, and theirs to mend.
func (h hands) NotifyConflict(is, other *memberlist.Node) {
	h.f.log.WithFields(
		logrus.Fields{"reason": "member", "member": is.Name, "at": is.Address(), "and": other.Address()},
	).Error(
		"two instances have one name; give one another",
	)
}

func (f *Fleet) is(n *memberlist.Node, there bool) {
	p := Peer{}
	_ = cbor.Unmarshal(n.Meta, &p)
	p.Name = n.Name
	f.mu.Lock()
	was, known := f.peers[n.Name]
	text := ""
	switch {
	case !there:
		delete(f.peers, n.Name)
		f.away[n.Name] = gone{n.Address(), was.StreamAddr, time.Now()}
		text = "an instance is not there any more"
	case !known:
		f.peers[n.Name] = p
		delete(f.away, n.Name)
		text = "an instance is there"
	case p.Incarnation < was.Incarnation: // word of an earlier life
		f.mu.Unlock()
		return
	default:
		f.peers[n.Name] = p
		text = "an instance began anew"
	}
	all, do := f.sorted(), slices.Clone(f.changed)
	f.mu.Unlock()
	if n.Name != f.plan.Name {
		f.log.WithFields(logrus.Fields{"member": n.Name, "site": p.Site, "members": len(all)}).Info(text)
	}
	for _, d := range do {
		d(all)
	}
}

// via reaches others as the plan says.
type via struct {
	*memberlist.NetTransport
	to map[string]string
}

func (v via) at(a memberlist.Address) memberlist.Address {
	if to, ok := v.to[a.Name]; ok {
		a.Addr = to
	}
	return a
}

func (v via) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return v.NetTransport.WriteToAddress(b, v.at(a))
}

func (v via) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return v.NetTransport.DialAddressTimeout(v.at(a), within)
}
