package proxy

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Headers between callers and the fleet.
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
	// HeaderFirst reports on a duplicate request what is known of the first request.
	HeaderFirst = "Ebonydyke-First"
)

// Headers between the fleet and its backend servers.
const (
	// HeaderNotStarted with the value "true" on an error response states that the
	// backend server did not start the request.
	HeaderNotStarted = "Engine-Not-Started"
	// HeaderAnswers is the value of HeaderRequestID in the request that a response answers.
	HeaderAnswers = "Engine-Request-Id"
	// HeaderLoad is the number of requests in flight at the backend server.
	HeaderLoad = "Engine-Load"
	// HeaderIncarnation is a number that increases with each start of the backend server.
	HeaderIncarnation = "Engine-Incarnation"
	// HeaderState is "live" or "leaving".
	HeaderState = "Engine-State"
	// HeaderStreamID identifies a stream that can be resumed and cancelled.
	HeaderStreamID = "Engine-Stream-Id"
	// HeaderEnginePriority is the caller's priority; a higher priority is served first.
	HeaderEnginePriority = "Engine-Priority"
	// HeaderLastEventID is the number of the last event that was received.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	fleetPrefix  = "Ebonydyke-"
	enginePrefix = "Engine-"
)

// hopByHopHeaders is the set of headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{
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

// forwardedHeaders is the set of the fleet's request headers that are sent to backend servers:
// the chat, by which an engine finds a cached prefix, and the request ID, for its logs.
var forwardedHeaders = map[string]bool{HeaderChat: true, HeaderRequestID: true}

// copyRequestHeaders copies a caller's headers to a request to a backend server. It
// omits hop-by-hop headers, engine headers and the fleet's headers that are not
// forwarded.
func copyRequestHeaders(to, from *fasthttp.RequestHeader) {
	from.CopyTo(to)
	named := NamedByConnection(from.Peek("Connection"))
	for _, key := range from.PeekKeys() {
		name := string(key)
		private := strings.HasPrefix(name, fleetPrefix) && !forwardedHeaders[name] || strings.HasPrefix(name, enginePrefix)
		if IsHopByHop(name, named) || private {
			to.Del(name)
		}
	}
	to.ResetConnectionClose()
	if priority := from.Peek(HeaderPriority); len(priority) > 0 {
		to.SetBytesV(HeaderEnginePriority, priority)
	}
}

// copyResponseHeaders copies a backend server's headers to the caller's response, except
// hop-by-hop headers and those of the fleet and its engines.
func copyResponseHeaders(to, from *fasthttp.ResponseHeader) {
	CopyEndToEnd(to, from)
	for _, key := range from.PeekKeys() {
		if name := string(key); strings.HasPrefix(name, fleetPrefix) || strings.HasPrefix(name, enginePrefix) {
			to.Del(name)
		}
	}
}

// CopyEndToEnd copies the headers of a response that are not hop-by-hop. It omits
// Content-Length, because the copy has its own framing.
func CopyEndToEnd(to, from *fasthttp.ResponseHeader) {
	named := NamedByConnection(from.Peek("Connection"))
	for key, value := range from.All() {
		if name := string(key); IsHopByHop(name, named) || name == "Content-Length" {
			continue
		}
		to.AddBytesKV(key, value)
	}
}

// NamedByConnection returns the set of headers that a Connection header makes
// hop-by-hop.
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

// parseLoad parses the backend server's load from the headers of a response. It returns
// nil if they hold no valid load.
func parseLoad(backend string, h *fasthttp.ResponseHeader, now time.Time) *membership.Report {
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

// maxRetryAfter caps the Retry-After of a backend server.
const maxRetryAfter = time.Hour

// ParseRetryAfter parses a Retry-After header in seconds, with or without a fraction. It
// returns 0 if the header is missing or invalid.
func ParseRetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64)
	if err != nil || !(seconds >= 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// isEventStream reports whether the body of a response is a stream of server-sent events.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	return bytes.HasPrefix(h.ContentType(), []byte(eventStreamType))
}

// IsHopByHop reports whether a header is hop-by-hop, either by its own name or because the
// message's Connection header names it.
func IsHopByHop(name string, named map[string]bool) bool { return hopByHopHeaders[name] || named[name] }
