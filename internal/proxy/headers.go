package proxy

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Headers of the callers' interface.
const (
	HeaderCustomer   = "Ebonydyke-Customer"
	HeaderChat       = "Ebonydyke-Chat"
	HeaderDeadline   = "Ebonydyke-Deadline-Ms"
	HeaderIdempotent = "Ebonydyke-Idempotent"
	HeaderPriority   = "Ebonydyke-Priority"
	HeaderKey        = "Idempotency-Key"
	HeaderPlacement  = "Ebonydyke-Placement"
	HeaderRequestID  = "Ebonydyke-Request-Id"
	HeaderBackend    = "Ebonydyke-Backend"
	HeaderOutcome    = "Ebonydyke-Outcome"
	HeaderReason     = "Ebonydyke-Reason"
	// HeaderFirst says on a duplicate what is known of the first request.
	HeaderFirst = "Ebonydyke-First"
)

// Headers between the fleet and its backend servers.
const (
	// HeaderNotStarted with the value "true" on an error answer is the backend
	// server's word that it did not start the request.
	HeaderNotStarted = "Engine-Not-Started"
	// HeaderLoad is the number of requests that the backend server works on.
	HeaderLoad = "Engine-Load"
	// HeaderIncarnation grows with each start of the backend server.
	HeaderIncarnation = "Engine-Incarnation"
	// HeaderState is "live" or "leaving".
	HeaderState = "Engine-State"
	// HeaderStreamID names a stream that can be resumed and cancelled.
	HeaderStreamID = "Engine-Stream-Id"
	// HeaderEnginePriority passes the caller's priority on; higher goes first.
	HeaderEnginePriority = "Engine-Priority"
	// HeaderLastEventID is the number of the last event that was received.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	fleetPrefix  = "Ebonydyke-"
	enginePrefix = "Engine-"
)

// hopByHop are the headers that concern one connection only. RFC 9110, 7.6.1.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// forwarded are the fleet's request headers that a backend server has a use for:
// the chat, by which it finds a cached prefix, and the id, for its own log.
var forwarded = map[string]bool{HeaderChat: true, HeaderRequestID: true}

// copyRequestHeaders sets the headers of a request to a backend server.
func copyRequestHeaders(to, from *fasthttp.RequestHeader) {
	from.CopyTo(to)
	named := NamedByConnection(from.Peek("Connection"))
	for _, key := range from.PeekKeys() {
		name := string(key)
		private := strings.HasPrefix(name, fleetPrefix) && !forwarded[name] || strings.HasPrefix(name, enginePrefix)
		if HopByHop(name, named) || private {
			to.Del(name)
		}
	}
	to.ResetConnectionClose()
	if priority := from.Peek(HeaderPriority); len(priority) > 0 {
		to.SetBytesV(HeaderEnginePriority, priority)
	}
}

// copyResponseHeaders passes a backend server's headers on to the caller, but for
// those of the fleet and its engines.
func copyResponseHeaders(to, from *fasthttp.ResponseHeader) {
	CopyEndToEnd(to, from)
	for _, key := range from.PeekKeys() {
		if name := string(key); strings.HasPrefix(name, fleetPrefix) || strings.HasPrefix(name, enginePrefix) {
			to.Del(name)
		}
	}
}

// CopyEndToEnd copies the headers of an answer that do not concern one connection
// only. The length is left out: the copy is framed anew.
func CopyEndToEnd(to, from *fasthttp.ResponseHeader) {
	named := NamedByConnection(from.Peek("Connection"))
	for key, value := range from.All() {
		if name := string(key); HopByHop(name, named) || name == "Content-Length" {
			continue
		}
		to.AddBytesKV(key, value)
	}
}

// NamedByConnection lists the headers that a Connection header makes hop-by-hop.
func NamedByConnection(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for name := range bytes.SplitSeq(value, []byte(",")) {
		key := fasthttp.AppendNormalizedHeaderKeyBytes(nil, bytes.TrimSpace(name))
		named[string(key)] = true
	}
	return named
}

// loadOf reads what an answer's headers say of the backend server's load, or
// returns nil if they say nothing that can be read.
func loadOf(backend string, h *fasthttp.ResponseHeader, now time.Time) *membership.Report {
	inFlight, err := strconv.Atoi(string(h.Peek(HeaderLoad)))
	if err != nil || inFlight < 0 {
		return nil
	}
	report := &membership.Report{Backend: backend, State: membership.Live, InFlight: inFlight, At: now}
	report.Incarnation, _ = strconv.ParseUint(string(h.Peek(HeaderIncarnation)), 10, 64)
	if string(h.Peek(HeaderState)) == string(membership.Leaving) {
		report.State = membership.Leaving
	}
	return report
}

// maxRetryAfter is the longest wait that a backend server is believed to ask for.
const maxRetryAfter = time.Hour

// RetryAfterOf reads a Retry-After of seconds, whole ones or with a fraction.
func RetryAfterOf(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64)
	if err != nil || !(seconds >= 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// isEventStream tells whether an answer's body is a stream of server-sent events.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	return bytes.HasPrefix(h.ContentType(), []byte(eventStream))
}

// HopByHop tells whether a header concerns one connection only, by its own name or
// because the message's Connection header names it.
func HopByHop(name string, named map[string]bool) bool { return hopByHop[name] || named[name] }
