package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A call about keys that is to be answered twice gets its answer twice on its connection; the next call gets one.
func TestSecondAnswer(t *testing.T) {
	keys := NewKeys(t.Errorf, func(string) bool { return false })
	left := 1
	keys.AnswersTwice = func(string) bool { left--; return left >= 0 }
	b, err := StartBackend(BackendOptions{ID: "i-1", Service: "s", Zone: "a", Listen: "127.0.0.1:0", Slots: 1,
		Heartbeat: 60, Controls: []string{"127.0.0.1:1"}, Keys: keys})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Stop()
	conn, err := net.Dial("tcp4", b.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	answers := func() (n int) {
		const call = "POST /v1/grant HTTP/1.1\r\nHost: b\r\nContent-Length: 54\r\n\r\n" +
			`{"source":0,"targetVersion":65535,"fence":1,"holdS":5}`
		if _, err := io.WriteString(conn, call); err != nil {
			t.Fatal(err)
		}
		for {
			_ = conn.SetReadDeadline(time.Now().Add(10 * secondAnswerDelay))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return n
			}
			if response.StatusCode != http.StatusOK {
				t.Errorf("status %d", response.StatusCode)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			n++
		}
	}
	for call, want := range []int{2, 1} {
		if n := answers(); n != want {
			t.Errorf("call %d has %d answers, not %d", call, n, want)
		}
	}
}
