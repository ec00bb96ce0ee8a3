package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// minProcessCheckTimeout limits the wait for a server's answer to the process check of a request's first attempt. It doubles
// with each attempt: one silent server is left soon, and a pause of all does not use up the attempts.
const minProcessCheckTimeout = 250 * time.Millisecond

// maxCheckDoublings bounds the doublings. The deadline of the request comes first.
const maxCheckDoublings = 6

// processCheckTimeout returns the timeout of an attempt's process check.
func processCheckTimeout(attempt int) time.Duration {
	return minProcessCheckTimeout << min(max(0, attempt-1), maxCheckDoublings)
}

// errProcessReplaced means that another process than the expected one runs under a server's name.
var errProcessReplaced = errors.New("proxy: another process runs under the backend server's name")

// errLateResponse means that a response to an earlier request came in place of the server's report.
var errLateResponse = errors.New("proxy: late response to another request")

// checkProcess makes sure that a connection leads to the process that the core expects, if it expects one.
// A server's name does not tell: another process, with other software, may run under it, and its entry may
// not have arrived yet. Nothing of the request has been sent on the connection.
//
// A connection that was opened before the core's knowledge of the entry cannot lead to a later process. On any
// other one the server is asked. A server that does not tell its process is taken at its entry's word.
func (c *call) checkProcess(conn *backendConn) error {
	expected := c.process
	if expected == nil || c.processPath == "" {
		return nil
	}
	if conn.openedAt.Before(expected.KnownAsOf) || conn.process == expected.Incarnation {
		c.processCertain = true
		return nil
	}
	body, err := c.askProcess(conn)
	if err != nil {
		return fmt.Errorf("proxy: process check: %w", err)
	}
	same, known := c.sameProcess(body, expected.Incarnation)
	if known && !same {
		return errProcessReplaced
	}
	if known {
		conn.process = expected.Incarnation
	}
	c.processCertain = known
	return nil
}

// askProcess requests what a server says of itself and returns the body, nil if the server has no such
// answer. The connection can be used for a request afterwards if there is no error.
func (c *call) askProcess(conn *backendConn) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.host.Addr + c.processPath)
	conn.carried.addProcessCheck()
	reader := bufio.NewReader(conn)
	deadline := earlier(time.Now().Add(processCheckTimeout(c.attempt)), c.deadline)
	if err := exchangeReport(conn, reader, req, resp, deadline); err != nil {
		return nil, err
	}
	if c.responseID(&resp.Header) != "" {
		return nil, errLateResponse
	}
	if resp.ConnectionClose() || reader.Buffered() > 0 {
		return nil, errors.New("the connection cannot be used again")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, nil
	}
	return append([]byte(nil), resp.Body()...), nil
}
