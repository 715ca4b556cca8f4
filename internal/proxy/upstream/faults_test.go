package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/apierror"
)

const (
	right  = ok + "Content-Length: 5\n\nright"
	nobody = "HTTP/1.1 503 F\n" + no // a refusal that does not say whose
)

// What may come on a connection that has carried a request before, in the place of the answer that is due or beside it.
// Guards against an answer that goes to the wrong caller (MIXED), and against a late refusal that is taken for this
// request's, which would then be sent once more (TWICE). The third request shows what the second left behind.
func TestAnswersOfOthers(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ name, first, method, say string }{
		{"the one before's first", "GET", "GET", old + right},
		{"the one before's, and silence", "GET", "GET", old},
		{"the one before's, and the end", "GET", "GET", old + "|"},
		{"the one before's first, to a HEAD", "GET", "HEAD", old + ok + "Content-Length: 5\n\n"},
		{"the one before's first, which was a HEAD", "HEAD", "GET",
			strings.Replace(old, "3\n\nold", "3\n\n", 1) + right},
		{"the one before's after 100", "GET", "GET", "HTTP/1.1 100 Continue\n\n" + old + right},
		{"the one before's between 100 and 103", "GET", "GET", "HTTP/1.1 100 Continue\n\n" + old +
			"HTTP/1.1 103 Early\nLink: l\n\n" + right},
		{"102 with a foreign id and a refusal", "GET", "GET", "HTTP/1.1 102 P\nX-Elmfold-Attempt-Id: before\n" +
			"X-Elmfold-Not-Executed: 1\n\n" + right},
		{"101, which nobody asked for", "GET", "GET", "HTTP/1.1 101 Switching\nUpgrade: x\n\nwhatever"},
		{"1xx without end", "GET", "GET", strings.Repeat("HTTP/1.1 100 Continue\n\n", 20) + right},
		{"two answers to this one", "GET", "GET", right + strings.Replace(right, "right", "wrong", 1)},
		{"this one's and the next one's", "GET", "GET", right + strings.Replace(old, "before", "next", 1)},
		{"this one's, and the one before's after it", "GET", "GET", right + old},
		{"a refusal that does not say whose", "GET", "GET", nobody + right},
		{"... and silence", "GET", "GET", nobody},
		{"... and the end", "GET", "GET", nobody + "|"},
		{"a 421 that does not say whose, and the end", "GET", "GET", "HTTP/1.1 421 M\nContent-Length: 0\n\n|"},
		{"a refusal of the one before, and the right one", "GET", "GET",
			"HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: before\n" + no + right},
		{"a body to a HEAD", "GET", "HEAD", right},
	} {
		synctest.Test(t, func(t *testing.T) {
			arrived := map[string]int{}
			p := backend(Options{}, func(s *side) {
				for {
					r := s.request()
					if r == "" {
						return
					}
					id := strings.TrimSpace(strings.SplitN(r[strings.Index(r, HeaderAttemptID)+len(HeaderAttemptID)+2:], "\r\n", 2)[0])
					if arrived[id]++; id == "me" {
						said, end := strings.CutSuffix(c.say, "|")
						if s.say(said); end {
							return
						}
						continue
					}
					answer := strings.Replace(ok, "me", id, 1) + fmt.Sprintf("Content-Length: %d\n\n", len(id))
					if !strings.HasPrefix(r, "HEAD") {
						answer += id
					}
					s.say(answer)
				}
			})
			fmt.Fprintf(&out, "%s:", c.name)
			for _, id := range []string{"before", "me", "next"} {
				call, from := get(id), time.Now()
				if call.Method = c.first; id != "before" {
					call.Method = c.method
				}
				a, err := p.Do(t.Context(), call)
				if id == "before" && (err != nil || p.IdleConns("b:1") != 1) {
					t.Fatal(a, err)
				}
				if id != "before" {
					fmt.Fprintf(&out, " %s", id)
					if err != nil {
						fmt.Fprintf(&out, " %v", err)
					}
					if a != nil {
						fmt.Fprintf(&out, " %d %q", a.Status, a.Body)
					}
					if d := time.Since(from); d > 0 {
						fmt.Fprint(&out, " after ", d)
					}
					fmt.Fprintf(&out, " (came %d, idle %d of %d);", arrived[id], p.IdleConns("b:1"), p.OpenConns("b:1"))
				}
				// Whatever it is, a success is this request's own, and nothing is sent twice by itself.
				if a != nil && a.Status == 200 && call.Method == "GET" && err == nil && string(a.Body) != "right" &&
					string(a.Body) != id || arrived[id] > 1 {
					t.Errorf("%s: %s hears %q, and came %d times", c.name, id, a.Body, arrived[id])
				}
			}
			fmt.Fprintln(&out)
			p.CloseIdle("b:1")
		})
	}
	autogold.Equal(t, out.String())
}

// A try that was ended for its time, or for its client, has ended its connection: what the backend says later comes to
// nobody. Guards against the late answer on a connection that another request has taken up.
func TestLateAnswerComesToNobody(t *testing.T) {
	for _, begin := range []string{"", ok + "Content-Le", ok + "Content-Length: 5\n\nri"} {
		for _, why := range []apierror.Kind{apierror.ResponseTimeout, apierror.AttemptCancelled} {
			synctest.Test(t, func(t *testing.T) {
				heard := make(chan error, 1)
				p := backend(Options{}, func(s *side) {
					if s.request() == "" {
						return
					}
					if s.n == 1 { // in the second before and in the one after the end
						s.say(begin)
						time.Sleep(2 * time.Second)
						_, err := io.WriteString(s, strings.ReplaceAll(right, "\n", "\r\n"))
						heard <- err
						return
					}
					s.say(right)
					s.request()
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := get("me")
				if c.Deadline = time.Now().Add(time.Second); why == apierror.AttemptCancelled {
					c.Deadline = time.Now().Add(time.Minute)
					time.AfterFunc(time.Second, cancel)
				}
				from := time.Now()
				if _, err := p.Do(ctx, c); kind(err) != why || time.Since(from) != time.Second || p.OpenConns("b:1") != 0 {
					t.Errorf("%q: %v after %v, %d open", begin, err, time.Since(from), p.OpenConns("b:1"))
				}
				a, err := p.Do(t.Context(), get("me"))
				if err != nil || string(a.Body) != "right" || <-heard == nil {
					t.Errorf("%q: %v, %v", begin, a, err)
				}
				p.CloseIdle("b:1")
			})
		}
	}
}

// A dial that takes longer than it may, though the connection does come up at the backend: not a byte was written, so
// it has not run, and the backend sees no request even when it waits for one.
func TestDialThatComesUpLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		came := make(chan int, 1)
		p := New(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			a, b := net.Pipe()
			go func() {
				n, _ := io.Copy(io.Discard, b)
				came <- int(n)
			}()
			<-ctx.Done()
			_ = a.Close()
			return nil, ctx.Err()
		}})
		from := time.Now()
		if _, err := p.Do(
			t.Context(),
			get("me"),
		); kind(err) != apierror.ConnectFailed ||
			time.Since(from) != 250*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(from))
		}
		if n := <-came; n != 0 || p.OpenConns("b:1") != 0 {
			t.Errorf("%d bytes came, %d open", n, p.OpenConns("b:1"))
		}
	})
}

// A process that was frozen between the dial and the first byte wakes after the request's time: nothing is sent. One
// that was frozen in the middle of writing wakes and sends no more either; what the backend has is no whole request,
// and the connection's end says so.
func TestFrozenWakesWithAHalfWrittenRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []byte
		var end error
		ended := make(chan bool)
		o := Options{}
		frozen := false
		o.Now = func() time.Time {
			if frozen { // the second look at the clock is after the freeze
				time.Sleep(10 * time.Second)
			}
			frozen = false
			return time.Now()
		}
		o.Dial = func(context.Context, string) (net.Conn, error) {
			frozen = true
			a, b := net.Pipe()
			go func() {
				got, end = io.ReadAll(b)
				ended <- true
			}()
			return timersLate{a}, nil
		}
		if _, err := New(o).Do(t.Context(), get("me")); kind(err) != apierror.DeadlineExceeded {
			t.Error(err)
		}
		if <-ended; len(got) != 0 {
			t.Errorf("%q was sent after its time", got)
		}
		half := []byte{}
		p := backend(Options{}, func(s *side) { // it takes a part of the request only, until the other side wakes
			half = make([]byte, 100)
			_, _ = io.ReadFull(s.Conn, half)
			time.Sleep(10 * time.Second)
			var rest []byte
			rest, end = io.ReadAll(s.Conn)
			half = append(half, rest...)
			ended <- true
		})
		c := get("me")
		c.Method, c.HasBody, c.Body = "POST", true, []byte(strings.Repeat("x", 10000))
		from := time.Now()
		if _, err := p.Do(
			t.Context(),
			c,
		); kind(err) != apierror.ResponseTimeout || time.Since(from) != 5*time.Second ||
			p.OpenConns("b:1") != 0 {
			t.Errorf("%v after %v", err, time.Since(from))
		}
		if <-ended; len(half) != 100 || end != nil {
			t.Errorf("%d bytes came, %v", len(half), end)
		}
	})
}

// timersLate is a connection right after its process woke: the timers of its deadlines have not run yet.
type timersLate struct{ net.Conn }

func (timersLate) SetDeadline(time.Time) error { return nil }

// A reset at each moment: with no byte written it has not run; after that nobody knows, however little was written, and
// whatever came of the answer's head; in the middle of a body that flows, the body breaks off.
func TestResetAtEachByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var whole int
		p := backend(Options{}, func(s *side) {
			whole = len(s.request())
			s.say(right)
		})
		if _, err := p.Do(t.Context(), get("me")); err != nil {
			t.Fatal(err)
		}
		for n := range whole + 1 {
			p := backend(Options{}, func(s *side) { _, _ = io.ReadFull(s.Conn, make([]byte, n)) })
			want := apierror.ConnectionBroken
			if n == 0 {
				want = apierror.ConnectFailed
			}
			if _, err := p.Do(t.Context(), get("me")); kind(err) != want || p.OpenConns("b:1") != 0 {
				t.Errorf("after %d of %d bytes of the request: %v", n, whole, err)
			}
		}
		answer := strings.ReplaceAll(right, "\n", "\r\n")
		for n := range answer {
			p := backend(Options{}, func(s *side) {
				s.request()
				_, _ = io.WriteString(s, answer[:n])
			})
			want := apierror.TruncatedResponse
			if n == 0 {
				want = apierror.ConnectionBroken
			}
			if _, err := p.Do(t.Context(), get("me")); kind(err) != want || p.OpenConns("b:1") != 0 {
				t.Errorf("after %d of %d bytes of the answer: %v", n, len(answer), err)
			}
		}
	})
}

// A backend that refuses before it has read the body: what it says is heard though the request could not be written to
// its end, and a whole answer that says nothing of the kind counts as may have run. The connection is not used again.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, k := range []struct {
			say  string
			want apierror.Kind
		}{{
			"HTTP/1.1 503 F\nX-Elmfold-Attempt-Id: me\n" + no,
			apierror.RejectedByEndpoint,
		}, {right, apierror.None}, {"", apierror.ConnectionBroken},
			{strings.Replace(right, "me", "other", 1), apierror.ConnectionBroken}} {
			p := backend(Options{}, func(s *side) {
				_, _ = io.ReadFull(s.Conn, make([]byte, 200))
				s.say(k.say)
			})
			c := get("me")
			c.Method, c.Body, c.Stream, c.StreamLen = "POST", []byte(strings.Repeat("x", 40)), endless{}, 1<<30
			a, err := p.Do(t.Context(), c)
			if kind(err) != k.want || k.want == apierror.RejectedByEndpoint && (a == nil || a.Status != 503) ||
				p.OpenConns("b:1") != 0 {
				t.Errorf("%q: %v, %v, %d open", k.say, a, err, p.OpenConns("b:1"))
			}
			synctest.Wait()
		}
	})
}

type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// A request whose id nobody gave shares its connection with nobody, before it or after it: its answer cannot be told
// from another's. Nor does one share it with an earlier try of the same id.
func TestNamelessRequestIsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		on := 0
		p := backend(Options{}, func(s *side) {
			for s.request() != "" {
				on = s.n
				s.say(right)
			}
		})
		for i, id := range []string{"me", "", "", "me"} {
			if a, err := p.Do(
				t.Context(),
				get(id),
			); err != nil || string(a.Body) != "right" || on != i+1 ||
				p.OpenConns("b:1") != 1 {
				t.Errorf("%d: %v, %v on connection %d, %d open", i, a, err, on, p.OpenConns("b:1"))
			}
		}
		p.CloseIdle("b:1")
	})
}
