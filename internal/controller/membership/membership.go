// Package membership tracks which instances are alive and carries messages between them. Failure detection is SWIM
// with the Lifeguard extensions (hashicorp/memberlist). This package adds sites, incarnations, address overrides, and
// rejoining after a network partition; see docs/notes/spread.md.
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

// Config configures the membership of an instance.
type Config struct {
	Name   string
	Site   string
	Listen string            // HOST:PORT for UDP and TCP; HOST is an IPv4 address
	Join   []string          // HOST:PORT of some other instances
	Via    map[string]string // HOST:PORT by instance name, used in place of its advertised address
}

// Peer is a live instance; it may be the local one.
type Peer struct {
	Name        string `cbor:"-"`
	Site        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // start time, Unix ns
	StreamAddr  string `cbor:"3,keyasint"` // HOST:PORT that accepts stream connections; empty: none
}

const (
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 250 * time.Millisecond
	rejoinInterval   = time.Second
	joinTimeout      = time.Second
	forgetTimeout    = time.Hour // after which a departed instance is no longer rejoined
	maxJoinsPerRound = 3
	maxDatagramSize  = 60 << 10
)

// message is the wire format of messages between instances.
type message struct {
	From string `cbor:"1,keyasint"`
	Kind uint8  `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// Fleet is the local view of all instances.
type Fleet struct {
	config  Config
	self    Peer
	members *memberlist.Memberlist
	log     *logrus.Entry
	cancel  context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	peers    map[string]Peer
	departed map[string]departedPeer // instances that failed or left
	joining  map[string]bool         // addresses of joins in progress
	handlers map[uint8]func(from string, body []byte)
	watchers []func([]Peer)
}

type departedPeer struct {
	addr, streamAddr string
	at               time.Time
}

// Open joins the fleet. Tests pass a transport; nil selects the network.
func Open(config Config, streamAddr string, transport memberlist.Transport, log *logrus.Entry) (*Fleet, error) {
	f := &Fleet{
		config: config,
		self: Peer{
			Name:        config.Name,
			Site:        config.Site,
			Incarnation: uint64(time.Now().UnixNano()),
			StreamAddr:  streamAddr,
		},
		log:      log,
		peers:    map[string]Peer{},
		departed: map[string]departedPeer{},
		joining:  map[string]bool{},
		handlers: map[uint8]func(string, []byte){},
		done:     make(chan struct{}),
	}
	options := memberlist.DefaultLANConfig()
	options.Name, options.TCPTimeout = config.Name, joinTimeout
	options.ProbeInterval, options.ProbeTimeout = probeInterval, probeTimeout
	options.Logger = stdlog.New(io.Discard, "", 0)
	options.Delegate, options.Events, options.Conflict = delegate{f}, delegate{f}, delegate{f}
	options.DeadNodeReclaimTime = time.Second // a restarted instance may have a new address
	if transport == nil {
		host, port, err := net.SplitHostPort(config.Listen)
		portNumber, portErr := strconv.Atoi(port)
		if err != nil || portErr != nil {
			return nil, fmt.Errorf("member listen address %q is not HOST:PORT", config.Listen)
		}
		inner, err := memberlist.NewNetTransport(
			&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: portNumber, Logger: options.Logger},
		)
		if err != nil {
			return nil, err
		}
		options.BindAddr, options.BindPort = host, inner.GetAutoBindPort()
		options.AdvertiseAddr, options.AdvertisePort = host, inner.GetAutoBindPort()
		transport = overrideTransport{inner, config.Via}
	}
	options.Transport = transport
	var err error
	if f.members, err = memberlist.Create(options); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	go f.rejoinLoop(ctx)
	return f, nil
}

// Close stops without announcing a leave, as a crash would; the other instances detect it.
func (f *Fleet) Close() {
	f.cancel()
	<-f.done
	_ = f.members.Shutdown()
}

// Self returns the local instance.
func (f *Fleet) Self() Peer { return f.self }

// Addr returns the advertised address.
func (f *Fleet) Addr() string { return f.members.LocalNode().Address() }

// Peers returns all live instances, including the local one, ordered by name.
func (f *Fleet) Peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sortedPeers()
}

func (f *Fleet) sortedPeers() []Peer {
	return slices.SortedFunc(maps.Values(f.peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
}

// Watch calls a function with all live instances, once immediately and then at each change. The function must not
// block.
func (f *Fleet) Watch(onChange func([]Peer)) {
	f.mu.Lock()
	f.watchers = append(f.watchers, onChange)
	all := f.sortedPeers()
	f.mu.Unlock()
	onChange(all)
}

// Handle sets the handler of messages of a kind. The handler must not block.
func (f *Fleet) Handle(kind uint8, handler func(from string, body []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[kind] = handler
}

var errNoSuchMember = errors.New("no such member")

// Send sends a message to a live instance, at most once; it may be lost. A message larger than a datagram goes over
// TCP.
func (f *Fleet) Send(to string, kind uint8, body any) error {
	encodedBody, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	raw, err := cbor.Marshal(message{f.config.Name, kind, encodedBody})
	if err != nil {
		return err
	}
	for _, n := range f.members.Members() {
		if n.Name == to {
			if len(raw) < maxDatagramSize {
				return f.members.SendBestEffort(n, raw)
			}
			return f.members.SendReliable(n, raw)
		}
	}
	return fmt.Errorf("%s: %w", to, errNoSuchMember)
}

// rejoinLoop joins known addresses that are not members: at the start, and to merge the halves of a healed partition.
// The interval varies by instance name, so that instances do not all join at once.
func (f *Fleet) rejoinLoop(ctx context.Context) {
	defer close(f.done)
	var joins sync.WaitGroup
	defer joins.Wait()
	h := fnv.New32a()
	h.Write([]byte(f.config.Name))
	jitter := time.Duration(h.Sum32()%1000) * rejoinInterval / 4000
	for round := 0; ; round++ {
		for _, address := range f.joinCandidates(round) {
			joins.Go(func() { f.join(address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rejoinInterval + jitter):
		}
	}
}

// join tries an address unless a join of it is in progress. Joins run concurrently, so that unreachable addresses do
// not delay the others.
func (f *Fleet) join(address string) {
	f.mu.Lock()
	isInProgress := f.joining[address]
	f.joining[address] = true
	f.mu.Unlock()
	if isInProgress {
		return
	}
	_, _ = f.members.Join([]string{address}) // a failed join is retried in a later round
	f.mu.Lock()
	delete(f.joining, address)
	f.mu.Unlock()
}

// joinCandidates returns some addresses to join: configured ones and those of departed instances, in rotation.
func (f *Fleet) joinCandidates(round int) (candidates []string) {
	isMember := map[string]bool{}
	for _, n := range f.members.Members() {
		isMember[n.Address()] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	if len(isMember) < 2 || round%4 == 0 {
		for _, a := range f.config.Join {
			if !isMember[a] {
				all = append(all, a)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.departed)) {
		if time.Since(f.departed[name].at) > forgetTimeout {
			delete(f.departed, name)
		} else if a := f.departed[name].addr; !isMember[a] && !slices.Contains(all, a) {
			all = append(all, name+"/"+a) // the name selects the address override
		}
	}
	for i := range min(maxJoinsPerRound, len(all)) {
		candidates = append(candidates, all[(round*maxJoinsPerRound+i)%len(all)])
	}
	return candidates
}

// delegate receives the callbacks of memberlist. None of them may block.
type delegate struct{ f *Fleet }

func (d delegate) NodeMeta(limit int) []byte {
	meta, err := cbor.Marshal(d.f.self)
	if err != nil || len(meta) > limit {
		return nil
	}
	return meta
}

func (d delegate) NotifyMsg(raw []byte) {
	var m message
	if cbor.Unmarshal(raw, &m) != nil {
		return
	}
	d.f.mu.Lock()
	handler := d.f.handlers[m.Kind]
	d.f.mu.Unlock()
	if handler != nil {
		handler(m.From, m.Body)
	}
}

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.f.updatePeer(n, true) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.f.updatePeer(n, true) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.f.updatePeer(n, false) }

// NotifyConflict reports two instances with the same name, which is a configuration error.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.f.log.WithFields(
		logrus.Fields{"reason": "member", "member": existing.Name, "at": existing.Address(), "and": other.Address()},
	).Error("two instances have the same name; rename one of them")
}

// updatePeer applies a join, update or departure, and notifies the watchers.
func (f *Fleet) updatePeer(n *memberlist.Node, isAlive bool) {
	p := Peer{}
	_ = cbor.Unmarshal(n.Meta, &p)
	p.Name = n.Name
	f.mu.Lock()
	previous, known := f.peers[n.Name]
	text := ""
	switch {
	case !isAlive:
		delete(f.peers, n.Name)
		f.departed[n.Name] = departedPeer{n.Address(), previous.StreamAddr, time.Now()}
		text = "instance departed"
	case !known:
		f.peers[n.Name] = p
		delete(f.departed, n.Name)
		text = "instance joined"
	case p.Incarnation < previous.Incarnation: // outdated
		f.mu.Unlock()
		return
	default:
		f.peers[n.Name] = p
		text = "instance restarted"
	}
	all, watchers := f.sortedPeers(), slices.Clone(f.watchers)
	f.mu.Unlock()
	if n.Name != f.config.Name {
		f.log.WithFields(logrus.Fields{"member": n.Name, "site": p.Site, "members": len(all)}).Info(text)
	}
	for _, onChange := range watchers {
		onChange(all)
	}
}

// overrideTransport replaces the addresses of instances that have an override.
type overrideTransport struct {
	*memberlist.NetTransport
	overrides map[string]string
}

func (t overrideTransport) resolve(a memberlist.Address) memberlist.Address {
	if override, ok := t.overrides[a.Name]; ok {
		a.Addr = override
	}
	return a
}

func (t overrideTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteToAddress(b, t.resolve(a))
}

func (t overrideTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialAddressTimeout(t.resolve(a), timeout)
}
