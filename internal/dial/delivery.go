package dial

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Delivery is what has become of the bytes that were written to a connection.
type Delivery struct {
	// WasReset is set if the connection was reset. A read does not tell that if the other end had closed its side in order before.
	WasReset bool
	// Complete is set if the machine of the other end has acknowledged all bytes, and Acknowledged is the number of those that it has.
	Complete     bool
	Acknowledged uint64
}

// DeliveryOf returns what has become of the bytes that were written to a connection that this end has not closed. It returns an
// error if the connection does not tell.
func DeliveryOf(conn net.Conn) (Delivery, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Delivery{}, fmt.Errorf("dial: delivery on %T: %w", conn, errors.ErrUnsupported)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Delivery{}, fmt.Errorf("dial: socket: %w", err)
	}
	info, err := tcpInfo(raw)
	if err != nil {
		return Delivery{}, fmt.Errorf("dial: delivery: %w", err)
	}
	return Delivery{
		WasReset:     info.State == unix.BPF_TCP_CLOSE,
		Complete:     info.Unacked == 0 && info.Notsent_bytes == 0,
		Acknowledged: info.Bytes_acked,
	}, nil
}
