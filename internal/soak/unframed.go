package soak

import (
	"fmt"
	"net"
	"net/http"
)

// unframedShare is the share of responses of safe and stream requests that have neither a length nor chunks and end with
// their connection.
const unframedShare = 0.1

// isUnframed reports whether the response to a request has no framing.
func isUnframed(kind, id string) bool {
	return (kind == kindSafe || kind == kindStream) && float64(hashID("unframed "+id)%1000) < 1000*unframedShare
}

// unframedWriter writes a response without a length or chunks on a connection taken over from the server.
type unframedWriter struct {
	http.ResponseWriter
	conn        net.Conn
	wroteHeader bool
}

// takeOver returns a writer for a response without framing. The caller closes its connection.
func takeOver(w http.ResponseWriter) (*unframedWriter, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, fmt.Errorf("soak: take over a connection: %w", err)
	}
	return &unframedWriter{ResponseWriter: w, conn: conn}, nil
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(p []byte) (int, error) {
	if err := u.writeHeader(); err != nil {
		return 0, err
	}
	return u.conn.Write(p)
}

// writeHeader writes the status and the header fields, once.
func (u *unframedWriter) writeHeader() error {
	if u.wroteHeader {
		return nil
	}
	u.wroteHeader = true
	if _, err := fmt.Fprint(u.conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return err
	}
	if err := u.Header().Write(u.conn); err != nil {
		return err
	}
	_, err := fmt.Fprint(u.conn, "\r\n")
	return err
}

// FlushError sends the header. The body is not buffered.
func (u *unframedWriter) FlushError() error { return u.writeHeader() }
