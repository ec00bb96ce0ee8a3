package heads

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Server is a stand-in that answers each request with the same text and keeps its connections open.
type Server struct {
	// Text is what it answers, Bytewise is set if it writes one byte at a time, and Early if it answers before it reads the body of
	// a request.
	Text            string
	Bytewise, Early bool
	// Address is where it listens.
	Address string
	// Connections, Requests and Closed count the connections that it accepted, the requests that it got, and the connections that the
	// other end has closed.
	Connections, Requests, Closed atomic.Int64
}

// StartServer starts a server that answers with a text.
func StartServer(t testing.TB, text string) *Server {
	t.Helper()
	s := &Server{Text: text}
	s.Start(t)
	return s
}

// Start starts the server, which ends with the test.
func (s *Server) Start(t testing.TB) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s.Address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.serve(conn)
		}
	}()
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.Closed.Add(1)
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.Requests.Add(1)
		if !s.Early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if s.write(conn) != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func (s *Server) write(conn net.Conn) error {
	size := len(s.Text)
	if s.Bytewise {
		size = 1
	}
	for rest := s.Text; rest != ""; rest = rest[size:] {
		if _, err := io.WriteString(conn, rest[:size]); err != nil {
			return err
		}
	}
	return nil
}
