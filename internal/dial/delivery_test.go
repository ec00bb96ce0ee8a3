package dial_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/dial"
)

func deliveryOf(t *testing.T, conn net.Conn) dial.Delivery {
	t.Helper()
	d, err := dial.DeliveryOf(conn)
	require.NoError(t, err)
	return d
}

// Guards against a reset that nobody notices, because the other end had closed its side in order before.
func TestResetAfterOrderlyCloseIsTold(t *testing.T) {
	conn, other, _ := watched(t)
	fill(t, conn)
	require.NoError(t, other.CloseWrite())
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.False(t, deliveryOf(t, conn).WasReset)
	require.False(t, deliveryOf(t, conn).Complete)
	require.NoError(t, other.SetLinger(0))
	require.NoError(t, other.Close())
	require.Eventually(t, func() bool { return deliveryOf(t, conn).WasReset }, ackTimeout, time.Millisecond)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "a read does not tell it")
}

// Guards against taking an orderly close for a reset.
func TestOrderlyCloseIsNoReset(t *testing.T) {
	conn, other, _ := watched(t)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.ReadFull(other, make([]byte, 7))
	require.NoError(t, err)
	require.NoError(t, other.Close())
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool { return deliveryOf(t, conn).Complete }, ackTimeout, time.Millisecond)
	require.False(t, deliveryOf(t, conn).WasReset)
}

// Guards against taking a connection that tells nothing, or that this end has closed, for one that has delivered all.
func TestDeliveryOnOtherConnectionsIsUnknown(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	_, err := dial.DeliveryOf(a)
	require.ErrorIs(t, err, errors.ErrUnsupported)
	conn, _, _ := watched(t)
	require.NoError(t, conn.Close())
	_, err = dial.DeliveryOf(conn)
	require.ErrorIs(t, err, net.ErrClosed)
}
