package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one consumer attempt.
type call struct {
	front, method, path, id string
	body                    string
	// deadline is the time that the consumer waits.
	deadline time.Duration
	// parts is the value of Prefix-Hash; "" for a plain request.
	parts string
	// resumes and after are set if the consumer takes up a stream.
	resumes, after string
}

// answer is what a consumer got.
type answer struct {
	status     int
	seal       string
	retryAfter time.Duration
	body       string
	// whole is set if the answer came to the end that its framing marks.
	whole bool
	err   error
}

// send sends a request on a new channel, and returns the answer. Each event of a stream is passed to event as it arrives.
func (c *call) send(event func(id int, data string)) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.parts != "" {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", "300,400")
		req.Header.Set("Prefix-Hash", c.parts)
	}
	if c.resumes != "" {
		req.Header.Set("Resumes", c.resumes)
		req.Header.Set("Last-Event-Id", c.after)
	}
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("Server-Seal")}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if c.parts == "" || a.status != http.StatusOK {
		text, err := io.ReadAll(resp.Body)
		a.body, a.whole, a.err = string(text), err == nil, err
		return a
	}
	a.err = readEvents(resp.Body, event)
	a.whole = a.err == nil
	return a
}

// readEvents reads whole events until the end of a stream.
func readEvents(r io.Reader, event func(id int, data string)) error {
	lines := bufio.NewReader(r)
	id, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && data != "":
			event(id, data)
			id, data = 0, ""
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		}
	}
}

// describe returns an answer for the record.
func (a *answer) describe() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	text := fmt.Sprintf("status %d, seal %q, whole %v", a.status, a.seal, a.whole)
	if a.retryAfter > 0 {
		text += fmt.Sprintf(", Retry-After %v", a.retryAfter)
	}
	if a.err != nil {
		text += fmt.Sprintf(", broken off: %v", a.err)
	}
	return text
}
