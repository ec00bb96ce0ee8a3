package proxy

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// callerLimits holds the operators' limits on callers' requests. They apply from the next request on, also on open connections.
type callerLimits struct {
	current atomic.Pointer[config.CallerLimits]
}

// SetCallerLimits sets the operators' limits. The server's own limits in Options stay in force beside them.
func (s *Server) SetCallerLimits(l config.CallerLimits) { s.limits.current.Store(&l) }

// load returns the limits in force.
func (l *callerLimits) load() config.CallerLimits {
	if current := l.current.Load(); current != nil {
		return *current
	}
	return config.CallerLimits{}
}

// maxBody returns the maximum size of a body in bytes.
func (s *Server) maxBody() int {
	if limit := s.limits.load().MaxBody; limit > 0 {
		return min(s.options.MaxBody, limit)
	}
	return s.options.MaxBody
}

// headerReceived prepares the reading of the body that follows a header. The time limit is that of the whole request, in place
// of that of its headers: see requestDeadlines.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	announceNoBody(h)
	return fasthttp.RequestConfig{ReadTimeout: s.options.ReadTimeout}
}

// requestDeadlines bounds the deadlines that the HTTP library sets while a request arrives: one after its first byte, for the
// headers, and one after the headers, for the body.
type requestDeadlines struct {
	headers, request time.Time
}

// beginRequest sets the bounds of a request whose first byte has arrived.
func (s *Server) beginRequest(now time.Time) requestDeadlines {
	d := requestDeadlines{request: now.Add(s.options.ReadTimeout)}
	d.headers = d.request
	if limit := time.Duration(s.limits.load().HeaderTimeout); limit > 0 {
		d.headers = earlier(d.headers, now.Add(limit))
	}
	return d
}

// bound returns the earlier of t and the bound that applies next.
func (d *requestDeadlines) bound(t time.Time) time.Time {
	if !d.headers.IsZero() {
		t = earlier(t, d.headers)
		d.headers = time.Time{}
		return t
	}
	return earlier(t, d.request)
}
