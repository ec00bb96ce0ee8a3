package proxy

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
)

// endCause says which timer or event ended an attempt, for logging.
type endCause string

// The causes.
const (
	// endedByServer means that the server's response was read to its end, whatever it says.
	endedByServer endCause = "server"
	// endedByFirstByteTimeout and endedByStallTimeout mean that this instance abandoned a server that was silent.
	endedByFirstByteTimeout endCause = "first-byte-timeout"
	endedByStallTimeout     endCause = "stall-timeout"
	endedByDeadline         endCause = "deadline"
	// endedByCancel means that the core cancelled the attempt, or that its caller disconnected.
	endedByCancel endCause = "cancel"
	// endedByClose and endedByReset mean that the server, or a device on the path, ended the connection.
	endedByClose endCause = "connection-closed"
	endedByReset endCause = "connection-reset"
	// endedByConnect means that no connection was opened.
	endedByConnect endCause = "connect"
	// endedByResponse means that the response is not one to this request.
	endedByResponse endCause = "response"
	endedByOther    endCause = "other"
)

// endCauses lists the errors by which a cause is recognized, the more specific ones first.
var endCauses = []struct {
	err   error
	cause endCause
}{
	{errFirstByteTimeout, endedByFirstByteTimeout},
	{errInactive, endedByStallTimeout},
	{errCallCancelled, endedByCancel},
	{io.ErrClosedPipe, endedByCancel},
	{net.ErrClosed, endedByCancel},
	{errConnect, endedByConnect},
	{errRefused, endedByServer},
	{errBackendFailure, endedByServer},
	{errMismatched, endedByResponse},
	{errStreamLost, endedByResponse},
	{syscall.ECONNRESET, endedByReset},
	{syscall.EPIPE, endedByReset},
	{io.EOF, endedByClose},
	{io.ErrUnexpectedEOF, endedByClose},
	{errUnframed, endedByClose},
	{errNoEndMark, endedByClose},
	{fasthttp.ErrTimeout, endedByDeadline},
}

// endCauseOf returns the cause of the error with which an attempt ended, if it ended with one.
func endCauseOf(err error) endCause {
	if err == nil {
		return endedByServer
	}
	for _, c := range endCauses {
		if errors.Is(err, c.err) {
			return c.cause
		}
	}
	if isTimeout(err) {
		return endedByDeadline
	}
	return endedByOther
}
