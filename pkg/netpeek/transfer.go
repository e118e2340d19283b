package netpeek

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TransferState tells how far a connection has come.
type TransferState struct {
	Reset          bool // the peer has reset the connection, also if a call has reported that already
	Unacknowledged bool // the peer has not received all that was written
}

// tcpClosed is TCP_CLOSE of linux/include/net/tcp_states.h. A connection that the peer has only
// closed is in another state until this side closes it too.
const tcpClosed = 7

var errNotTCP = errors.New("not a TCP connection")

// Transfer returns the state of a TCP connection that this side has not closed. It fails where
// the system does not tell it.
func Transfer(c net.Conn) (t TransferState, err error) {
	err = readTCPInfo(c, func(info *unix.TCPInfo) {
		t.Reset = info.State == tcpClosed
		t.Unacknowledged = info.Unacked > 0 || info.Notsent_bytes > 0
	})
	return t, err
}

// SinceReceived returns the time since bytes of the peer last arrived at this machine, whether
// they were read or not. It fails where the system does not tell it.
func SinceReceived(c net.Conn) (since time.Duration, err error) {
	err = readTCPInfo(c, func(info *unix.TCPInfo) { since = time.Duration(info.Last_data_recv) * time.Millisecond })
	return since, err
}

// readTCPInfo calls read with what the system knows of a TCP connection.
func readTCPInfo(c net.Conn, read func(*unix.TCPInfo)) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return errNotTCP
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var infoErr error
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			read(info)
		}
	})
	return errors.Join(infoErr, controlErr)
}
