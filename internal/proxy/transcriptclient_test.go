package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"
)

// transcriptClient is a client connection whose traffic is part of the transcript.
type transcriptClient struct {
	s    *scenario
	conn net.Conn
	br   *bufio.Reader
}

func (s *scenario) newTranscriptClient() *transcriptClient {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := s.host("10.0.9.1").Dial(ctx, "10.0.0.100:8548", 0)
	if err != nil {
		s.logf("client: no connection comes up")
		return nil
	}
	return &transcriptClient{s: s, conn: conn, br: bufio.NewReader(conn)}
}

var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// request sends a request and records the response. " | " separates the lines of its head; the parts of the body are
// sent 300 ms after one another.
func (c *transcriptClient) request(lines string, parts ...string) {
	if c == nil {
		return
	}
	lines = strings.ReplaceAll(lines, " | ", "\r\n")
	method, _, _ := strings.Cut(lines, " ")
	if !strings.Contains(lines, "Host: ") {
		lines += "\r\nHost: a.example"
	}
	if !strings.Contains(lines, "Attempt-Id") {
		c.s.requestCount++
		lines += fmt.Sprintf("\r\nX-Elmfold-Attempt-Id: t%d", c.s.requestCount)
	}
	shown := strings.ReplaceAll(lines, "\r\n", " | ")
	if len(shown) > 400 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:120], len(shown))
	}
	c.s.logf("client > %s", shown)
	if _, err := io.WriteString(c.conn, lines+"\r\n\r\n"); err != nil {
		c.s.logf("client < broken off")
		return
	}
	go func() {
		for i, p := range parts {
			if i > 0 {
				time.Sleep(300 * time.Millisecond)
			}
			_, _ = io.WriteString(c.conn, p)
		}
	}()
	c.readResponse(method)
}

func (c *transcriptClient) readResponse(method string) {
	_ = c.conn.SetReadDeadline(time.Now().Add(30 * time.Second)) // a missing response must not block the test
	var head bytes.Buffer
	for !bytes.HasSuffix(head.Bytes(), []byte("\r\n\r\n")) {
		line, err := c.br.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.s.logf("client < nothing within 30 s\n")
			return
		}
		if err != nil {
			c.s.logf("client < closed%s\n", map[bool]string{true: " within the head"}[head.Len() > 0])
			return
		}
		head.WriteString(line)
	}
	text := dateHeader.ReplaceAllString(strings.TrimSuffix(head.String(), "\r\n\r\n")+"\r\n", "")
	c.s.logf("client < %s", strings.ReplaceAll(strings.TrimSuffix(text, "\r\n"), "\r\n", " | "))
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, byteReader{c.br})), &http.Request{Method: method})
	if err != nil {
		c.s.logf("        %v\n", err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.s.logf("        %s, then it breaks off: %v\n", summarizeBody(body), err)
	case len(body) > 0:
		c.s.logf("        %s\n", summarizeBody(body))
	default:
		c.s.logf("")
	}
}

const chunkedEncoding = "Transfer-Encoding: chunked"

func encodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
