// Package tcp has what all clients have in common: options of connections that package net has
// none for, bounds, and connections that tell an orderly end from a reset.
//
// # Usage
//
//	dialer := &net.Dialer{Control: tcp.UserTimeout(time.Second)}
//	client := &http.Client{Transport: tcp.NewTransport(dialer)}
package tcp

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// MaxHead bounds the head of an answer, in bytes, for every client of the system: a peer
// may send one without end.
const MaxHead = 64 << 10

// MaxMessage bounds one message between processes of the system, in bytes. It is above
// the largest chunk of weights.
const MaxMessage = 32 << 20

// UserTimeout returns a dialer's control function that ends a connection whose bytes
// are not acknowledged in time: a machine without power and one behind a partition
// send no reset.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		control := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if control != nil {
			return control
		}
		return err
	}
}
