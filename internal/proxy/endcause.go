package proxy

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
)

// EndCause says which timer or event ended an attempt, for logging.
type EndCause string

// The causes.
const (
	// endedByServer means that the server's response was read to its end, whatever it says.
	endedByServer EndCause = "server"
	// endedBySuperseding means that another attempt of the request has delivered first.
	endedBySuperseding EndCause = "superseded"
	endedByDeadline    EndCause = "deadline"
	// endedByCancel means that the core cancelled the attempt, or that its caller disconnected.
	endedByCancel EndCause = "cancel"
	// endedByClose and endedByReset mean that the server, or a device on the path, ended the connection.
	endedByClose EndCause = "connection-closed"
	endedByReset EndCause = "connection-reset"
	// endedByConnect means that no connection was opened.
	endedByConnect EndCause = "connect"
	// endedByResponse means that the response is not one to this request.
	endedByResponse EndCause = "response"
	// endedByMalformed means that the bytes of the server are no response.
	endedByMalformed EndCause = "malformed"
	endedByOther     EndCause = "other"
)

// EndCauses lists the causes.
var EndCauses = []EndCause{
	endedByServer, endedBySuperseding, endedByDeadline, endedByCancel, endedByClose, endedByReset,
	endedByConnect, endedByResponse, endedByMalformed, endedByOther,
}

// causesByError lists the errors by which a cause is recognized, the more specific ones first.
var causesByError = []struct {
	err   error
	cause EndCause
}{
	{errSuperseded, endedBySuperseding},
	{errCallCancelled, endedByCancel},
	{io.ErrClosedPipe, endedByCancel},
	{net.ErrClosed, endedByCancel},
	{errConnect, endedByConnect},
	{errMalformed, endedByMalformed},
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
func endCauseOf(err error) EndCause {
	if err == nil {
		return endedByServer
	}
	for _, c := range causesByError {
		if errors.Is(err, c.err) {
			return c.cause
		}
	}
	if isTimeout(err) {
		return endedByDeadline
	}
	return endedByOther
}
