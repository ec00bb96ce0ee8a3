package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

const (
	// cancelQueueSize bounds the streams that wait for cancellation. If the queue is full,
	// a cancellation is dropped and the engine eventually ends the stream itself.
	cancelQueueSize = 256
	cancelWorkers   = 4
	engineTimeout   = 2 * time.Second
	maxReportSize   = 64 << 10
)

// engineClient sends engines the requests that are not part of a caller's request:
// stream cancellations and load queries.
type engineClient struct {
	http  *fasthttp.Client
	log   *logQueue
	queue chan streamRef
}

func newEngineClient(o Options, log *logQueue) *engineClient {
	c := &engineClient{
		http: &fasthttp.Client{
			Transport:                 engineTransport{},
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       o.BackendIdle,
		},
		log:   log,
		queue: make(chan streamRef, cancelQueueSize),
	}
	for range cancelWorkers {
		go c.run()
	}
	return c
}

// engineTransport sends each request once, on a pooled connection or a new one, and reads its whole response within engineTimeout.
type engineTransport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (engineTransport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	pooled, err := hc.AcquireConn(engineTimeout, false)
	if err != nil {
		return false, err
	}
	reader := hc.AcquireReader(pooled.Conn())
	defer hc.ReleaseReader(reader)
	err = exchangeReport(pooled.Conn(), reader, req, resp, time.Now().Add(engineTimeout))
	if err != nil || resp.ConnectionClose() || reader.Buffered() > 0 {
		hc.CloseConn(pooled)
		return false, err
	}
	hc.ReleaseConn(pooled)
	return false, nil
}

// exchangeReport sends a request and reads the whole response, with a body of at most maxReportSize, until the deadline.
func exchangeReport(conn net.Conn, r *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := writeRequest(conn, req); err != nil {
		return err
	}
	if err := awaitHead(r); err != nil {
		return err
	}
	if err := resp.ReadLimitBody(r, maxReportSize); err != nil {
		return err
	}
	if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return errSwitched
	}
	return nil
}

func writeRequest(conn net.Conn, req *fasthttp.Request) error {
	out := bufio.NewWriter(conn)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// cancel queues the cancellation of a stream. It never blocks.
func (c *engineClient) cancel(s streamRef) {
	select {
	case c.queue <- s:
	default:
		c.log.put("stream cancellation dropped: queue is full", "address", s.address, "stream", s.id)
	}
}

func (c *engineClient) run() {
	for s := range c.queue {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodDelete)
		req.SetRequestURI(streamURL(s))
		if err := c.http.Do(req, resp); err != nil {
			c.log.put("stream cancellation failed", "address", s.address, "stream", s.id, "error", err)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}

// loadReport is the JSON form of an engine's load report.
type loadReport struct {
	Incarnation uint64           `json:"incarnation"`
	State       membership.State `json:"state"`
	InFlight    int              `json:"in_flight"`
}

// Report fetches the load report of a backend server.
func (s *Server) Report(backend, address string) (membership.Report, error) {
	report := membership.Report{Backend: backend, At: s.options.Now()}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/load")
	if err := s.engine.http.Do(req, resp); err != nil {
		return report, fmt.Errorf("proxy: load report of %s: %w", backend, err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return report, fmt.Errorf("proxy: load report of %s: status %d", backend, status)
	}
	var l loadReport
	if err := json.Unmarshal(resp.Body(), &l); err != nil {
		return report, fmt.Errorf("proxy: load report of %s: %w", backend, err)
	}
	report.Incarnation, report.State, report.InFlight = l.Incarnation, l.State, l.InFlight
	if !report.Valid() || (l.State != membership.Live && l.State != membership.Leaving) {
		return report, fmt.Errorf("proxy: load report of %s: invalid load or state", backend)
	}
	return report, nil
}
