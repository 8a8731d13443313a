// Package entries carries the datagrams that entries send to each other, and that
// agents send to them.
//
// Sums of what is in flight and confirmations of the configuration are of use for
// some hundred milliseconds and are sent again anyway, so that a datagram without
// delivery guarantees fits them better than a call: it costs one packet, and a
// peer that is gone holds nothing up. What must arrive goes over connect.
//
// # Usage
//
//	c, err := entries.Listen("10.1.0.40:7700")
//	err = c.Send("10.1.0.41:7700", datagram)
//	err = c.Receive(ctx, func(m *nodev1.Datagram) { ... })
package entries

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// maxDatagram bounds a datagram, in bytes; larger ones are not sent.
const maxDatagram = 8 << 10

// ErrTooLarge is returned for a message that does not fit a datagram.
var ErrTooLarge = eris.New("message is too large for a datagram")

// Conn sends and receives datagrams. It is safe for concurrent use.
type Conn struct {
	udp *net.UDPConn
}

// Listen opens the socket at IP:PORT.
func Listen(address string) (*Conn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "entries")
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrap(err, "entries")
	}
	return &Conn{udp: udp}, nil
}

// Send sends a datagram to the entry at an address.
func (c *Conn) Send(address string, m *nodev1.Datagram) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrap(err, "entries")
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "entries")
	}
	if len(data) > maxDatagram {
		return ErrTooLarge
	}
	_, err = c.udp.WriteToUDPAddrPort(data, to)
	return eris.Wrap(err, "entries")
}

// Bounds of failed readings. One may be an error report about a datagram that was sent;
// a socket that fails for a second is given up.
const (
	receivePause = 50 * time.Millisecond
	maxFailures  = 20 // in a row
)

// Receive passes each datagram to take until ctx ends or the socket is of no use. What does
// not decode is dropped: anyone may send a datagram. A reading that fails is reported
// and tried again.
func (c *Conn) Receive(ctx context.Context, take func(m *nodev1.Datagram), failed func(err error)) error {
	stop := context.AfterFunc(ctx, func() { c.udp.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	failures := 0
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			failures++
			if failures > maxFailures || errors.Is(err, net.ErrClosed) {
				return eris.Wrap(err, "entries")
			}
			failed(err)
			time.Sleep(receivePause)
			continue
		}
		failures = 0
		m := &nodev1.Datagram{}
		if proto.Unmarshal(buf[:n], m) == nil {
			take(m)
		}
	}
}
