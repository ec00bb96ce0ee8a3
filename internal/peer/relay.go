package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
)

// relayTimeShare is the part of the remaining time that a relay may take to connect. The rest is for its
// reply: without one it would seem not to relay.
const relayTimeShare = 0.75

// errRelayReply means that a peer answered a relay request with something else.
var errRelayReply = errors.New("peer: invalid reply to a relay request")

// RelayRequest is a peer's request to relay a connection to a backend server. Package relay serves
// it. Such a connection is separate from the link, so control messages never wait behind its bytes.
type RelayRequest struct {
	// From is the name of the requesting instance.
	From string
	// Address is the address of the backend server, and Timeout the time limit for connecting to it.
	Address string
	Timeout time.Duration
	// Conn is the connection to the peer. After Reply(paths.Connected) it carries only the relayed bytes.
	Conn net.Conn
}

// Reply tells the peer the result.
func (r *RelayRequest) Reply(result paths.Result) error {
	frame := peerpb.Frame{RelayReply: &peerpb.RelayReply{Result: encodeRelayResult(result)}}
	return writeFrame(r.Conn, &frame)
}

// serveRelay passes a relay request to the handler.
func (l *Links) serveRelay(ctx context.Context, conn net.Conn, r *peerpb.RelayRequest) error {
	if r.Fleet != l.cfg.Fleet || r.Version != protocolVersion {
		l.stats.rejected()
		return errOtherFleet
	}
	request := &RelayRequest{From: r.Name, Address: r.Address, Timeout: time.Duration(r.Timeout) * time.Millisecond, Conn: conn}
	if l.cfg.Relay == nil {
		return request.Reply(paths.NoRelay)
	}
	return l.cfg.Relay(ctx, request)
}

// RelayDialer opens connections to backend servers through peers.
type RelayDialer struct {
	// Fleet is the name of the fleet, and Name that of this instance.
	Fleet string
	Name  string
}

// DialContext asks a peer to connect to a backend server and returns the connection. The error is a
// *paths.Error. The context must have a deadline.
func (d RelayDialer) DialContext(ctx context.Context, relay core.PeerAddress, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", relay.Address)
	if err != nil {
		return nil, &paths.Error{Result: paths.NoRelay, Err: fmt.Errorf("peer: dial relay %s: %w", relay.Name, err)}
	}
	if err := d.open(ctx, conn, relay.Name, address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// open performs the handshake of a relayed connection.
func (d RelayDialer) open(ctx context.Context, conn net.Conn, relay, address string) error {
	deadline, _ := ctx.Deadline()
	noRelay := func(err error) error {
		return &paths.Error{Result: paths.NoRelay, Err: fmt.Errorf("peer: relay %s: %w", relay, err)}
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return noRelay(err)
	}
	timeout := time.Duration(relayTimeShare * float64(time.Until(deadline)))
	err := writeFrame(conn, &peerpb.Frame{RelayRequest: &peerpb.RelayRequest{
		Version: protocolVersion, Name: d.Name, Fleet: d.Fleet, Address: address, Timeout: uint32(max(0, timeout.Milliseconds())),
	}})
	if err != nil {
		return noRelay(err)
	}
	if err := d.readHello(conn, relay); err != nil {
		return noRelay(err)
	}
	result, err := readRelayResult(conn)
	if err != nil {
		return noRelay(err)
	}
	if result != paths.Connected {
		return &paths.Error{Result: result, Err: relayFailure(relay, result)}
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return noRelay(err)
	}
	return nil
}

// readHello checks that the instance at the address is the expected one: the address may belong to
// another process by now.
func (d RelayDialer) readHello(conn net.Conn, relay string) error {
	frame, err := readFrame(byteReader{conn}, maxHello)
	if err != nil {
		return err
	}
	hello, err := decodeHello(frame)
	if err != nil {
		return err
	}
	if hello.Name != relay || hello.Fleet != d.Fleet {
		return errWrongPeer
	}
	return nil
}

func readRelayResult(conn net.Conn) (paths.Result, error) {
	frame, err := readFrame(byteReader{conn}, maxHello)
	if err != nil {
		return "", err
	}
	var f peerpb.Frame
	if err := proto.Unmarshal(frame, &f); err != nil {
		return "", fmt.Errorf("%w: %w", errFrame, err)
	}
	if f.RelayReply == nil {
		return "", errRelayReply
	}
	return decodeRelayResult(f.RelayReply.Result), nil
}

// relayFailure returns the cause of a failed relay. A refusal that a relay met is one of the server's
// machine, as if this instance had met it.
func relayFailure(relay string, result paths.Result) error {
	if result == paths.Refused {
		return fmt.Errorf("peer: backend server, through %s: %w", relay, syscall.ECONNREFUSED)
	}
	return fmt.Errorf("peer: backend server not reached through %s", relay)
}

func encodeRelayResult(r paths.Result) peerpb.RelayResult {
	switch r {
	case paths.Connected:
		return peerpb.RelayResult_RELAY_RESULT_CONNECTED
	case paths.Refused:
		return peerpb.RelayResult_RELAY_RESULT_REFUSED
	case paths.TimedOut:
		return peerpb.RelayResult_RELAY_RESULT_TIMED_OUT
	default:
		return peerpb.RelayResult_RELAY_RESULT_UNAVAILABLE
	}
}

func decodeRelayResult(r peerpb.RelayResult) paths.Result {
	switch r {
	case peerpb.RelayResult_RELAY_RESULT_CONNECTED:
		return paths.Connected
	case peerpb.RelayResult_RELAY_RESULT_REFUSED:
		return paths.Refused
	case peerpb.RelayResult_RELAY_RESULT_TIMED_OUT:
		return paths.TimedOut
	default:
		return paths.NoRelay
	}
}

// writeFrame writes a frame with its length prefix.
func writeFrame(conn net.Conn, f *peerpb.Frame) error {
	e := Encoder{}
	proto.Merge(&e.frame, f)
	frame, err := e.marshal()
	if err != nil {
		return err
	}
	if _, err := conn.Write(frame); err != nil {
		return fmt.Errorf("peer: write: %w", err)
	}
	return nil
}
