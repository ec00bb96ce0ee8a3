package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

type sendCommand struct {
	To            string `default:"127.0.0.1:7080" env:"EBONYDYKE_LISTEN" help:"Callers' address (listen) of an instance."`
	Customer      string `required:"" help:"The customer."`
	Chat          string `help:"The chat."`
	Model         string `required:"" help:"Model to send a chat turn to." xor:"target"`
	Service       string `required:"" help:"Plain service to call." xor:"target"`
	Path          string `default:"/" help:"Path within the plain service."`
	Method        string `default:"GET" help:"Method of the call on the plain service."`
	Stream        bool   `help:"Ask for a streamed answer."`
	NonIdempotent bool   `help:"The request may run at most once."`
	Key           string `help:"Idempotency key of the request."`
	Placement     string `help:"The Ebonydyke-Placement header of the chat's last turn."`
	Message       string `arg:"" optional:"" help:"What to say; the body for a plain service."`
}

// sendResult is the JSON output of the send command.
type sendResult struct {
	Status    int            `json:"status"`
	Request   string         `json:"request"`
	Backend   string         `json:"backend,omitempty"`
	Outcome   reason.Outcome `json:"outcome"`
	Reason    reason.Reason  `json:"reason,omitempty"`
	Placement string         `json:"placement,omitempty"`
	Body      string         `json:"body,omitempty"`
	ReadError string         `json:"broken,omitempty"`
}

// Run sends one request and reports its outcome.
func (c *sendCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	req, err := c.request(ctx)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	resp, err := httpClient.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("send: nothing was sent: %w", err)
	}
	if err != nil {
		return &exitError{exitOutcomeUnknown, fmt.Errorf("send: no answer from the instance at %s: %w", c.To, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	s := sendResult{
		Status:    resp.StatusCode,
		Request:   resp.Header.Get(proxy.HeaderRequestID),
		Backend:   resp.Header.Get(proxy.HeaderBackend),
		Outcome:   reason.Outcome(resp.Header.Get(proxy.HeaderOutcome)),
		Reason:    reason.Reason(resp.Header.Get(proxy.HeaderReason)),
		Placement: resp.Header.Get(proxy.HeaderPlacement),
	}
	if global.JSON {
		if err := global.printSendResult(&s, resp.Body); err != nil {
			return err
		}
	} else {
		if _, err := io.Copy(global.stdout, resp.Body); err != nil {
			s.ReadError = err.Error()
		}
		global.printf("\n%s by %s (status %d, request %s)\n", s.Outcome, s.responder(), s.Status, s.Request)
	}
	return s.err()
}

func (c *sendCommand) request(ctx context.Context) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	if c.Service != "" {
		method, path = c.Method, "/services/"+c.Service+"/"+strings.TrimPrefix(c.Path, "/")
		body = []byte(c.Message)
	} else {
		body, _ = json.Marshal(map[string]any{
			"model":    c.Model,
			"stream":   c.Stream,
			"messages": []map[string]string{{"role": "user", "content": c.Message}},
		})
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.To+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for header, value := range map[string]string{
		proxy.HeaderCustomer:  c.Customer,
		proxy.HeaderChat:      c.Chat,
		proxy.HeaderKey:       c.Key,
		proxy.HeaderPlacement: c.Placement,
		"Content-Type":        "application/json",
	} {
		if value != "" {
			req.Header.Set(header, value)
		}
	}
	if c.NonIdempotent {
		req.Header.Set(proxy.HeaderIdempotent, "false")
	}
	return req, nil
}

// printSendResult prints a result as JSON, with a response body of limited size that is encoded as it arrives.
func (c *cli) printSendResult(s *sendResult, body io.Reader) error {
	fields, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if _, err := c.stdout.Write(bytes.TrimSuffix(fields, []byte("\n}"))); err != nil {
		return err
	}
	text := &jsonString{w: &prefixWriter{w: c.stdout, prefix: ",\n  \"body\": "}}
	n, err := io.Copy(text, io.LimitReader(body, maxResponseBytes))
	if err == nil && n == maxResponseBytes && hasMore(body) {
		err = errResponseTooLarge
	}
	if err != nil {
		s.ReadError = err.Error()
	}
	if err := text.Close(); err != nil {
		return err
	}
	return c.printReadError(s.ReadError)
}

// hasMore reports whether another byte can be read.
func hasMore(r io.Reader) bool {
	n, _ := io.ReadFull(r, make([]byte, 1))
	return n > 0
}

// printReadError prints the last field of a result, if there is one, and the end of the result.
func (c *cli) printReadError(readError string) error {
	end := "\n}\n"
	if readError != "" {
		text, err := json.Marshal(readError)
		if err != nil {
			return err
		}
		end = ",\n  \"broken\": " + string(text) + end
	}
	_, err := io.WriteString(c.stdout, end)
	return err
}

func (s *sendResult) responder() string {
	if s.Backend == "" {
		return "the fleet"
	}
	return s.Backend
}

// err returns an error with the exit code for the request's outcome, or nil if the request was
// answered.
func (s *sendResult) err() error {
	switch {
	case s.ReadError != "":
		return &exitError{exitOutcomeUnknown, fmt.Errorf("the answer is broken: %s", s.ReadError)}
	case s.Outcome == reason.Answered:
		return nil
	case s.Outcome == reason.NotRun:
		return &exitError{exitNotRun, fmt.Errorf("the request did not run: %s", s.Reason)}
	case s.Outcome == reason.Duplicate:
		return &exitError{exitDuplicate, fmt.Errorf("the request is a duplicate: %s", s.Reason)}
	default:
		return &exitError{exitOutcomeUnknown, fmt.Errorf("it is unknown whether the request ran: %s", s.Reason)}
	}
}
