package callers

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// closeNotice is sent on a connection without a complete head before it is closed. The
	// next request may already be on its way: without the notice its caller sees a closed
	// connection, which does not tell whether the request has run. Status 408 says that it
	// has not (RFC 9110, 15.5.9). A caller without a request closes the connection.
	closeNotice = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" +
		"Jackdawtrack-Executed: " + string(result.ExecutedNo) + "\r\n\r\n"
	// goAwayFrame is the frame GOAWAY of HTTP/2 without an error. It has the highest number of
	// a stream, so requests that cross it are still served (RFC 9113, 6.8).
	goAwayFrame = "\x00\x00\x08\x07\x00\x00\x00\x00\x00\x7f\xff\xff\xff\x00\x00\x00\x00"
	// noticeTime bounds the wait for the caller to close the connection after the notice.
	// It covers a round trip to a distant caller. It is shorter than the 200 ms after which a
	// request that crosses the close counts as lost, and than the part of the
	// grace period that remains when a host closes its idle connections.
	noticeTime = 150 * time.Millisecond
	// refusedHeadTime bounds the wait for the caller to close the connection after the refusal
	// of a head. It is that of net/http after 431.
	refusedHeadTime = 500 * time.Millisecond
)

// announceClose sends the notice and reads until the caller has closed the connection,
// because a connection that is closed with unread bytes is reset, and its caller may lose
// the notice. What is read was sent before the notice has arrived and is not run. It runs in
// Read: http.Server.Close calls Close of all connections one after the other, so a wait
// there would add up.
func (c *callerConn) announceClose() {
	if c.TCPConn.SetDeadline(time.Now().Add(noticeTime)) != nil {
		return // closed meanwhile
	}
	if c.writeNotice() != nil {
		return // the caller has left
	}
	c.setAnnounced()
	crossed := c.awaitClose()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && !c.encrypted { // otherwise it is the rest of a late head, or the end of TLS
		c.crossed = int(crossed)
	}
}

// writeNotice writes the notice, with TLS through the TLS connection, inside whose Read it
// runs: reads and writes of that have different locks.
func (c *callerConn) writeNotice() error {
	c.mu.Lock()
	encrypted := c.tls
	c.mu.Unlock()
	if encrypted == nil {
		_, err := io.WriteString(c.TCPConn, closeNotice)
		return err
	}
	if _, err := io.WriteString(encrypted, closeNotice); err != nil {
		return err
	}
	return encrypted.CloseWrite()
}

// setTLS keeps the TLS connection c above the connection once it is idle, if it speaks
// HTTP/1.1. Its handshake has ended then.
func (c *callerConn) setTLS(conn net.Conn, state http.ConnState) {
	encrypted, ok := conn.(*tls.Conn)
	if !ok || state != http.StateIdle {
		return
	}
	if s := encrypted.ConnectionState(); s.HandshakeComplete && s.NegotiatedProtocol != "h2" {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tls = encrypted
	}
}

// awaitClose ends the sending side and reads until the caller has closed the connection, or
// the read deadline. It returns the number of bytes.
func (c *callerConn) awaitClose() int64 {
	if c.TCPConn.CloseWrite() != nil {
		return 0 // the caller has left
	}
	n, _ := io.Copy(io.Discard, c.TCPConn)
	return n
}

// refusesHead records and reports whether p is a response of net/http to a head that no
// handler gets.
func (c *callerConn) refusesHead(p []byte) bool {
	const status = len("HTTP/1.1 ")
	c.mu.Lock()
	defer c.mu.Unlock()
	refuses := !c.handled && !c.encrypted && c.state == http.StateActive && len(p) > status && bytes.HasPrefix(p, []byte("HTTP/1.")) && p[status] >= '4'
	c.refused = refuses && c.readErr == nil // otherwise the caller has left
	return refuses
}

func (c *callerConn) setAnnounced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = true
}

func (c *callerConn) isAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.announced
}
