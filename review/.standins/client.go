package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// attempt is a client's attempt and its answer.
type attempt struct {
	id     string
	status int // 0 if there was no answer
	stamp  string
	body   []byte
	sent   time.Time
}

// clients send requests of one kind to the node of one machine.
type clients struct {
	rec       *record
	node      *node
	method    string
	route     route
	perSecond float64
	timeout   time.Duration
	// meanBody and maxBody bound the size of a request's body in bytes; its spread is 0.6.
	meanBody, maxBody float64
	// onAnswer is called with each attempt that ended.
	onAnswer func(attempt)

	http    http.Client
	mu      sync.Mutex
	in      bool
	pending sync.WaitGroup
}

// run sends requests until stop is closed and returns when all have ended.
func (c *clients) run(stop <-chan struct{}) {
	c.in = true
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second}
	go c.node.watchReady(stop, func(in bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.in = in
	})
	for {
		select {
		case <-stop:
			c.pending.Wait()
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / c.perSecond * float64(time.Second))):
		}
		c.mu.Lock()
		in := c.in
		c.mu.Unlock()
		if in {
			c.pending.Go(c.sendOne)
		}
	}
}

func (c *clients) sendOne() {
	a := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	c.rec.note("sent %s to %s %s", a.id, c.node.name, c.route.name)
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	c.exchange(ctx, &a)
	c.rec.note("answered %s %d stamp=%q after %.3f s", a.id, a.status, a.stamp, time.Since(a.sent).Seconds())
	if c.onAnswer != nil {
		c.onAnswer(a)
	}
}

// drawBody returns the size of a request's body.
func (c *clients) drawBody() int {
	const spread = 0.6
	return int(min(c.meanBody*math.Exp(spread*rand.NormFloat64()-spread*spread/2), c.maxBody))
}

func (c *clients) exchange(ctx context.Context, a *attempt) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.callers+c.route.prefix+a.id, bytes.NewReader(make([]byte, c.drawBody())))
	if err != nil {
		return
	}
	req.GetBody = nil // the transport must not send a request again
	req.Host = c.route.host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), body
}
