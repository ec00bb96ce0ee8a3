package proxy

import (
	"cmp"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Options configures the proxy. The zero value of each field selects its default.
type Options struct {
	// Dialect translates the HTTP conventions of callers and backend servers; Native if nil.
	Dialect Dialect
	// Now returns the time of the core's clock; time.Now if nil.
	Now func() time.Time
	// Metrics receives the proxy's measurements; if nil, they are discarded.
	Metrics Metrics
	// MaxConns is the maximum number of connections from callers.
	MaxConns int
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int
	// MaxBodies is the maximum number of bytes that the bodies of all requests take together.
	MaxBodies int
	// MaxHeader is the maximum size of the header of a request or response in bytes.
	MaxHeader int
	// MaxResponse is the maximum size in bytes of a response body without a length, which may have no end. A longer one is broken
	// off. A stream of events has no limit: each event has one.
	MaxResponse int64
	// ReadTimeout limits the time to read a whole request.
	ReadTimeout time.Duration
	// CallerIdle is the idle timeout of a caller's connection. It must be longer than the
	// idle timeout of the load balancer; otherwise the proxy may close a connection at
	// the moment at which the load balancer sends a request on it.
	CallerIdle time.Duration
	// WriteStall is the time after which a caller that accepts no byte of its response is
	// disconnected.
	WriteStall time.Duration
	// AcceptQuiet is the time without new connections after which a stopping instance
	// closes its listener. AcceptMax limits the wait for such a period.
	AcceptQuiet time.Duration
	AcceptMax   time.Duration
	// DrainIdle is the time after which a stopping instance closes an idle connection of
	// a caller.
	DrainIdle time.Duration
	// DialTimeout limits the time to open a connection to a backend server, over all paths.
	DialTimeout time.Duration
	// Relays opens connections through peers; nil if there are none.
	Relays RelayDialer
	// BackendIdle is the idle timeout of a connection to a backend server that does not
	// announce its own.
	BackendIdle time.Duration
	// Inactivity is the time without a byte after which the engine of a stream that it can resume is asked for the rest
	// on another connection. The first one stays open until the other delivers.
	Inactivity time.Duration
}

// Default values of Options.
const (
	DefaultMaxConns    = 8192
	DefaultMaxBody     = 8 << 20
	DefaultMaxBodies   = 128 << 20
	DefaultMaxResponse = 48 << 20
	DefaultMaxHeader   = 32 << 10
	DefaultReadTimeout = time.Minute
	DefaultCallerIdle  = 10 * time.Minute
	DefaultWriteStall  = time.Minute
	DefaultAcceptQuiet = time.Second
	DefaultAcceptMax   = 2 * time.Minute
	DefaultDrainIdle   = 5 * time.Second
	DefaultDialTimeout = time.Second
	DefaultBackendIdle = 30 * time.Second
	DefaultInactivity  = 30 * time.Second
)

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dialect == nil {
		o.Dialect = Native{}
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	o.MaxConns = cmp.Or(o.MaxConns, DefaultMaxConns)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	o.MaxBodies = cmp.Or(o.MaxBodies, DefaultMaxBodies)
	o.MaxResponse = cmp.Or(o.MaxResponse, DefaultMaxResponse)
	o.MaxHeader = cmp.Or(o.MaxHeader, DefaultMaxHeader)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, DefaultReadTimeout)
	o.CallerIdle = cmp.Or(o.CallerIdle, DefaultCallerIdle)
	o.WriteStall = cmp.Or(o.WriteStall, DefaultWriteStall)
	o.AcceptQuiet = cmp.Or(o.AcceptQuiet, DefaultAcceptQuiet)
	o.AcceptMax = cmp.Or(o.AcceptMax, DefaultAcceptMax)
	o.DrainIdle = cmp.Or(o.DrainIdle, DefaultDrainIdle)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.BackendIdle = cmp.Or(o.BackendIdle, DefaultBackendIdle)
	o.Inactivity = cmp.Or(o.Inactivity, DefaultInactivity)
}

// Metrics receives the proxy's measurements. Its methods must be safe for concurrent
// use.
type Metrics interface {
	// Refused counts a final response that the fleet itself generated: a refusal or a
	// failure.
	Refused(reason.Reason)
	// Retried counts an attempt beyond a request's first.
	Retried(reason.Reason)
	// AttemptEnded counts the end of an attempt by the timer or event that ended it.
	AttemptEnded(EndCause)
	// ResponseIdentified counts a response of a backend server by the request that it names.
	ResponseIdentified(Identity)
	// Answered records a whole response with the times from the request's arrival to the
	// response's first and last byte.
	Answered(service string, firstByte, total time.Duration)
	// CallerBytes counts bytes of response bodies that are sent to callers.
	CallerBytes(n int)
	// Dialled counts an attempt to open a connection to a backend server.
	Dialled(DialReason)
	// AcceptFailed counts an error of accepting a caller's connection that was waited out.
	AcceptFailed()
	// IdleClosed counts an idle connection of a caller that is closed.
	IdleClosed(IdleClose)
	// ConnEnded counts a caller's connection that ended while a request on it had no whole response, by the phase of
	// the request and by the event that ended the connection.
	ConnEnded(ConnPhase, ConnEnd)
}

type noMetrics struct{}

func (noMetrics) Refused(reason.Reason)                         {}
func (noMetrics) Retried(reason.Reason)                         {}
func (noMetrics) AttemptEnded(EndCause)                         {}
func (noMetrics) ResponseIdentified(Identity)                   {}
func (noMetrics) Answered(string, time.Duration, time.Duration) {}
func (noMetrics) CallerBytes(int)                               {}
func (noMetrics) Dialled(DialReason)                            {}
func (noMetrics) AcceptFailed()                                 {}
func (noMetrics) IdleClosed(IdleClose)                          {}
func (noMetrics) ConnEnded(ConnPhase, ConnEnd)                  {}
