package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// consumer sends requests to one instance over channels that it keeps.
type consumer struct {
	world  *world
	front  string
	mu     sync.Mutex
	idle   []*channel
	number atomic.Int64
	name   string
}

// channel is a kept channel.
type channel struct {
	conn     net.Conn
	in       *bufio.Reader
	lastUsed time.Time
}

// request is a request of a consumer.
type request struct {
	method, host, path, key, body string
	timeout                       time.Duration
	header                        map[string]string
}

// answer is what a consumer got; the status is 0 if there was no whole answer.
type answer struct {
	id, why, seal, body, attempt string
	status                       int
	header                       http.Header
	retryAfter                   string
}

func newConsumer(w *world, name, front string) *consumer {
	return &consumer{world: w, front: front, name: name}
}

// send sends a request with an id of its own and waits for the answer.
func (c *consumer) send(q request) answer {
	id := fmt.Sprintf("%s%06x", c.name, c.number.Add(1))
	c.world.record.add("sent", "id", id, "to", c.front, "path", q.path, "key", q.key)
	a := c.exchange(id, q)
	c.world.record.add("answered", "id", id, "status", a.status, "why", a.why, "seal", a.seal)
	return a
}

func (c *consumer) exchange(id string, q request) answer {
	a := answer{id: id}
	ch, err := c.channel()
	if err != nil {
		a.why = "connect: " + err.Error()
		return a
	}
	_ = ch.conn.SetDeadline(time.Now().Add(q.timeout))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, id, q.timeout.Milliseconds())
	if q.key != "" {
		text += "Authorization: Bearer " + q.key + "\r\n"
	}
	for name, value := range q.header {
		text += name + ": " + value + "\r\n"
	}
	if q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(ch.conn, text+"\r\n"+q.body); err != nil {
		_ = ch.conn.Close()
		a.why = "send: " + err.Error()
		return a
	}
	resp, err := http.ReadResponse(ch.in, &http.Request{Method: q.method})
	if err != nil {
		_ = ch.conn.Close()
		a.why = "read: " + err.Error()
		return a
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = ch.conn.Close()
		a.why = "body: " + err.Error()
		return a
	}
	a.status, a.body, a.header = resp.StatusCode, string(body), resp.Header
	a.seal, a.attempt, a.retryAfter = resp.Header.Get("Server-Seal"), resp.Header.Get("Attempt-Id"), resp.Header.Get("Retry-After")
	if a.seal == "" {
		a.why = fmt.Sprintf("%.60q", a.body)
	}
	if resp.Close {
		_ = ch.conn.Close()
		return a
	}
	ch.lastUsed = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, ch)
	c.mu.Unlock()
	return a
}

// maxIdle is within four fifths of the configuration's idleTimeoutMs.
const maxIdle = 10 * time.Second

// channel returns an idle channel or a new one.
func (c *consumer) channel() (*channel, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		ch := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(ch.lastUsed) < maxIdle {
			c.mu.Unlock()
			return ch, nil
		}
		_ = ch.conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *consumer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range c.idle {
		_ = ch.conn.Close()
	}
	c.idle = nil
}
