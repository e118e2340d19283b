package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// refusedBodyTime bounds how long a host reads on after it has refused a body.
	refusedBodyTime = 2 * time.Second
	// bodyArrivalTime bounds the wait for the rest of a body before its refusal. Many callers
	// send the body right after the head.
	bodyArrivalTime = 10 * time.Millisecond
	// netHTTPReadBytes is how much of a body net/http reads on after a handler. It closes
	// the connection after a longer one, unread, within half a second.
	netHTTPReadBytes = 256 << 10
)

// ReadRefusedBody reads the body of a request that is refused, as far as it arrives within
// bodyArrivalTime, and reports whether that is all of it. Otherwise the response must
// close the connection: the caller may send for long, and net/http would hold back the
// response until it ends. With HTTP/2 a body is no obstacle, and it reads nothing.
func ReadRefusedBody(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.ContentLength == 0 || r.ProtoMajor > 1:
		return true
	case r.ContentLength > netHTTPReadBytes, r.Header.Get("Expect") != "": // a read would ask for the body
		return false
	case r.TLS != nil:
		// A read deadline may end the check for a closed connection that net/http begins at the
		// end of the body, and with it all requests of the connection.
		return r.ContentLength > 0
	}
	conn := http.NewResponseController(w)
	if conn.SetReadDeadline(time.Now().Add(bodyArrivalTime)) != nil {
		return false // the connection is closed
	}
	_, err := io.CopyN(io.Discard, r.Body, netHTTPReadBytes+1)
	_ = conn.SetReadDeadline(time.Time{}) // as above
	return bodyEnded(err)
}

// bodyEnded reports whether a copy of the body of a request ended with err because all of
// the body was read. net/http may have read the rest before it sent the response, and
// closes the body then.
func bodyEnded(err error) bool {
	return err == io.EOF || errors.Is(err, http.ErrBodyReadAfterClose)
}

// SendRefusal sends the response that was written before the body of r has arrived, and
// reads on for refusedBodyTime at most. A caller that still sends would otherwise get a
// reset, which may come in place of the response. With HTTP/2 it does nothing: there a
// refusal ends one stream and resets no connection.
func SendRefusal(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 {
		return
	}
	conn := http.NewResponseController(w)
	// Before net/http sends the response it may read a part of a body in chunks.
	if conn.SetReadDeadline(time.Now().Add(refusedBodyTime)) != nil || conn.Flush() != nil {
		return // the connection is closed
	}
	c, _ := r.Context().Value(connContextKey{}).(net.Conn)
	tracked, ok := transport(c).(*callerConn)
	if ok && w.Header().Get("Connection") == "close" {
		tracked.setAnnounced() // a stop need not wait for what the caller still sends
	}
	// The copy ends with the body, the connection or the deadline, and at once if an
	// earlier read of a body in chunks has failed: its reader repeats the error.
	if _, err := io.Copy(io.Discard, r.Body); err == nil || bodyEnded(err) {
		return // what follows on the connection is the next request
	}
	if ok {
		tracked.dropRest()
	}
}

// SendEarlyRefusal is SendRefusal for a request whose body has not been read. net/http would
// wait for the rest of a short one without a bound. A caller that waits to be asked for the
// body needs no more than that bound.
func SendEarlyRefusal(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0 || r.ProtoMajor > 1:
	case r.Header.Get("Expect") != "":
		// net/http reads the body after the response, which closes the connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime)) // fails on a closed connection only
	default:
		SendRefusal(w, r)
	}
}

// dropRest drops what arrives until the caller closes the connection or the read deadline
// passes. No request is read from the connection after it.
func (c *callerConn) dropRest() {
	c.mu.Lock()
	c.dropping = true
	c.mu.Unlock()
	n, _ := io.Copy(io.Discard, c.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped += int(n)
}
