package simulation

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// What a backend does with one request.

const (
	defaultBudget = 10 * time.Second
	flowingBytes  = 80 << 10 // more than a proxy holds
	// afterwordPause is how long after its answer a backend sends bytes that belong to nothing.
	afterwordPause = 3 * time.Millisecond
)

// exchange is one request at a backend.
type exchange struct {
	backend *Backend
	conn    net.Conn
	request *http.Request
	arrival Arrival
	fields  map[string]string // of the answer
	budget  time.Duration
	act     Act
	key     uint16 // of a service that is divided by key
	hold    *Hold  // under which it runs; nil: its service is not
}

// answer serves one request; false: the connection ends.
func (b *Backend) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Elmfold-Attempt-Id")
	if r.Method == http.MethodGet && r.RequestURI == "/health" && id == "" {
		return b.answerHealth(c)
	}
	x := b.newExchange(c, r, id, body)
	if r.URL.Path == grantPath || r.URL.Path == releasePath {
		return b.answerKeys(x, body)
	}
	if isOver, stays := x.refuse(); isOver {
		return stays
	}
	defer b.free()
	if x.hold != nil {
		defer b.endKey(x.key)
	}
	if over, _ := endOf(c).ended(); over { // dropped before it ran
		x.note(Shed)
		return false
	}
	x.note(Ran)
	if b.Meanwhile != nil {
		b.Meanwhile(r)
	}
	work := x.work()
	severed := endOf(c).endsWithin(min(work, x.budget), b.host.gone) // as most backends, it drops what nobody waits for
	if b.w.Ledger.Finish(id, b.ID, b.w.Now(), severed && !b.ended()); severed {
		b.w.Ledger.Reply(id, Reply{Backend: b.ID})
		return false
	}
	status := http.StatusOK
	switch {
	case x.hold != nil && b.w.Now() >= b.holdEnd(x.hold):
		status = http.StatusInternalServerError
	case work > x.budget:
		status = http.StatusGatewayTimeout
	}
	return x.say(status)
}

func (b *Backend) answerHealth(c net.Conn) bool {
	status := http.StatusOK
	if !b.ready() {
		status = http.StatusServiceUnavailable
	}
	return say(c, status, "", map[string]string{"X-Elmfold-Instance-Id": b.ID, "X-Elmfold-Server-Load": b.load(),
		"X-Elmfold-Cold-Ms": strconv.FormatInt(b.warmupLeft().Milliseconds(), 10)}, nil)
}

func (b *Backend) newExchange(c net.Conn, r *http.Request, id string, body []byte) *exchange {
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	x := &exchange{
		backend: b,
		conn:    c,
		request: r,
		arrival: Arrival{ID: id, At: b.w.Now(), Backend: b.ID, Service: b.Service, Zone: b.Zone, From: from, Method: r.Method,
			Target: r.RequestURI, Body: sum(body)},
		fields: map[string]string{"X-Elmfold-Attempt-Id": id, "X-Elmfold-Server-Load": b.load(),
			"Keep-Alive": fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds()))},
		budget: defaultBudget,
	}
	if ms, err := strconv.Atoi(r.Header.Get("X-Elmfold-Time-Budget-Ms")); err == nil {
		x.budget = time.Duration(ms) * time.Millisecond
		x.arrival.Budget = x.budget
	}
	b.mu.Lock()
	script := b.Script
	b.mu.Unlock()
	if script != nil {
		x.act = script(id)
	}
	return x
}

func (x *exchange) note(o Outcome) {
	x.arrival.Outcome = o
	x.backend.w.Ledger.Arrive(x.arrival)
}

// refuse answers a request that does not run here; stays: the connection does too. Otherwise the request has a slot.
func (x *exchange) refuse() (isOver, stays bool) {
	b := x.backend
	to := x.request.Header.Get("X-Elmfold-Target-Instance")
	switch {
	case to != "" && to != b.ID:
		return true, x.refuseInstance()
	case x.act == Lost:
		x.note(Shed)
		b.w.Ledger.Reply(x.arrival.ID, Reply{Backend: b.ID})
		endOf(x.conn).abort()
		return true, false
	case b.keys != nil && !b.holds(x.request):
		return true, x.refuseKey()
	case !b.take(x.budget):
		x.note(Shed)
		x.fields["X-Elmfold-Not-Executed"] = "1"
		return true, say(x.conn, http.StatusServiceUnavailable, "", x.fields, nil)
	}
	if b.keys != nil {
		x.key, _ = requestKey(x.request)
		held := false
		if x.hold, held = b.beginKey(x.key); !held { // the hold ended while the request waited
			b.free()
			return true, x.refuseKey()
		}
	}
	return false, false
}

// refuseInstance answers a request to another instance.
func (x *exchange) refuseInstance() bool {
	x.note(Misdirected)
	x.fields["X-Elmfold-Instance-Id"] = x.backend.ID
	return say(x.conn, http.StatusMisdirectedRequest, "", x.fields, nil)
}

// refuseKey answers a request on a key that the backend does not hold.
func (x *exchange) refuseKey() bool {
	x.note(Misdirected)
	x.fields["X-Elmfold-Not-Executed"] = "1"
	x.fields["X-Elmfold-Instance-Id"] = x.backend.ID
	return say(x.conn, http.StatusMisdirectedRequest, "", x.fields, nil)
}

// work is how long the request is worked at.
func (x *exchange) work() time.Duration {
	work := x.backend.Work
	if x.backend.warmupLeft() > 0 {
		work *= 2
	}
	if x.hold != nil && x.backend.w.Now() < x.hold.coldUntil {
		work *= coldKeyFactor
	}
	if x.act == Slow || strings.HasSuffix(x.request.RequestURI, longSuffix) {
		work += time.Second + time.Duration(sum([]byte(x.arrival.ID))%2000)*time.Millisecond
	}
	return work
}

// say answers a request that ran, or does what it is to do in place of that.
func (x *exchange) say(status int) bool {
	b, c, id := x.backend, x.conn, x.arrival.ID
	size := b.Size
	if len(id) > 0 && id[0] < '4' && b.Service == "views" {
		size = flowingBytes
	}
	page := []byte(strings.Repeat(id+" ", size/(len(id)+1)+1))
	// Each attempt has a seal of its own: one request may come to a backend twice.
	seal := fmt.Sprintf("%s.%d.%d.%x", b.ID, len(page), x.arrival.At, sum([]byte(id+b.ID)))
	b.w.Ledger.Reply(id, Reply{Backend: b.ID, Status: status, Seal: seal, Sum: sum(page),
		Complete: x.act <= Afterword || x.act == Slow})
	x.fields["X-Elmfold-Server-Load"] = b.load()
	if cold := b.warmupLeft(); cold > 0 {
		x.fields["X-Elmfold-Cold-Ms"] = strconv.FormatInt(cold.Milliseconds(), 10)
	}
	proper := func() bool { return say(c, status, seal, x.fields, page) }
	switch x.act {
	case Mute:
		select {
		case <-time.After(x.budget + time.Second):
		case <-b.host.gone:
		}
		return false
	case Snap:
		endOf(c).abort()
		return false
	case Garble:
		_, _ = c.Write([]byte("\x00\x7fHTTP/9 what\r\n\r\nnothing\r\n"))
		return false
	case Short:
		_, _ = c.Write(answerBytes(status, seal, x.fields, page)[:200+len(page)*9/10])
		return false
	case Twice, Afterword:
		if !proper() {
			return false
		}
		if x.act == Afterword {
			time.Sleep(afterwordPause)
		}
	case Proper, Lost, Slow: // answered as they should be by now
	}
	return proper()
}

func answerBytes(status int, seal string, fields map[string]string, body []byte) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if len(body) > 64<<10 && seal[len(seal)-1]&1 == 0 { // half of the long ones come in chunks
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
		body = fmt.Appendf(nil, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 100, body[:100], len(body)-100, body[100:])
	} else {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(body))
	}
	for _, name := range sortedKeys(fields) {
		out = fmt.Appendf(out, "%s: %s\r\n", name, fields[name])
	}
	if seal != "" {
		out = fmt.Appendf(out, "X-Elmfold-Server-Seal: %s\r\n", seal)
	}
	return append(append(out, "\r\n"...), body...)
}

func say(c net.Conn, status int, seal string, fields map[string]string, body []byte) bool {
	_, err := c.Write(answerBytes(status, seal, fields, body))
	return err == nil
}

// ended reports whether its process has ended.
func (b *Backend) ended() bool {
	select {
	case <-b.host.gone:
		return true
	default:
		return false
	}
}
