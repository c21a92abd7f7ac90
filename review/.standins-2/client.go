package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id       string
	node     string
	sentAt   time.Time // the last byte was sent
	endedAt  time.Time
	timeout  time.Duration
	status   int // 0 without a complete answer
	complete bool
	detail   string
}

// attempt sends one request on a new connection and reads its answer.
func attempt(rec *recorder, v *vm, method, host, path string, body string, timeout time.Duration) outcome {
	o := outcome{id: newID(8), node: v.name, timeout: timeout}
	c, err := net.DialTimeout("tcp", v.outbound, time.Second)
	if err != nil {
		o.detail = "no connection"
		o.endedAt = time.Now()
		rec.log("request %s (%s %s) to %s: no connection", o.id, method, path, v.name)
		return o
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n", method, path, host, o.id, timeout.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	rec.log("request %s (%s %s) sent to %s", o.id, method, path, v.name)
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		o.detail = "connection closed while the request was sent"
		o.endedAt = time.Now()
		return o
	}
	o.sentAt = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(resp.Body)
		o.status = resp.StatusCode
		o.complete = err == nil
		o.detail = strings.TrimSpace(string(answer))
	}
	if err != nil {
		o.detail = "no complete answer: " + err.Error()
	}
	o.endedAt = time.Now()
	rec.log("the client of request %s gets %d (%s) from %s", o.id, o.status, o.detail, v.name)
	return o
}
