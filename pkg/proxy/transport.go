// Package proxy sends one request to one BackendServer and streams the answer
// to the caller. It checks the identity of every answer, ends silent streams,
// resumes broken ones where the server can, never sends a request twice on its
// own, and says truthfully whether a byte can have reached the server.
package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	// connectTimeout bounds a TCP handshake. Servers are at most a few
	// milliseconds away, so a slower handshake means a lost host.
	connectTimeout = time.Second
	// idleTimeout is short because an idle connection can go silent for good
	// and the request that finds out loses its progress timeout.
	idleTimeout = 5 * time.Second
	// keepAlivePeriod lets the kernel find a lost host on an open stream.
	keepAlivePeriod  = 2 * time.Second
	keepAliveProbes  = 3
	maxIdlePerServer = 256
	// Buffers of one connection. They are small because thousands of streams
	// stay open; a larger piece passes them by.
	readBuffer  = 2 << 10
	writeBuffer = 1 << 10
	// cancelAnswerLimit bounds what is read of the answer to a cancel order.
	cancelAnswerLimit = 4 << 10
	maxAnswerHeader   = 64 << 10
)

// Transport opens connections to BackendServers. It is safe for concurrent
// use.
type Transport struct {
	conns  *connTable
	pooled *http.Transport
	fresh  *http.Transport // one connection per request
}

// Options are the timeouts of a Transport. Zero values stand for the defaults.
type Options struct {
	Connect time.Duration // of a TCP handshake
	Idle    time.Duration // after which an unused connection is closed
}

// NewTransport returns a Transport with the default timeouts.
func NewTransport() *Transport { return NewTransportWith(Options{}) }

// NewTransportWith returns a Transport.
func NewTransportWith(o Options) *Transport {
	if o.Connect == 0 {
		o.Connect = connectTimeout
	}
	if o.Idle == 0 {
		o.Idle = idleTimeout
	}
	t := &Transport{conns: newConnTable()}
	t.pooled = t.newHTTP(o, false)
	t.fresh = t.newHTTP(o, true)
	return t
}

func (t *Transport) newHTTP(o Options, fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: o.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlivePeriod,
			Interval: keepAlivePeriod,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return t.conns.add(addr, c), nil
		},
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        o.Idle,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        writeBuffer,
		ReadBufferSize:         readBuffer,
	}
}

// Close closes all idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// trip is one HTTP exchange and what is known of its connection.
type trip struct {
	conn  *trackedConn
	use   uint64
	since uint64 // writes on the connection before this exchange
}

// sent reports whether a byte of the request can have reached the server. It
// seals the connection first, so the answer stays true.
func (t *trip) sent() bool {
	if t.conn == nil {
		return false
	}
	return t.conn.seal(t.since)
}

// requestBody is never nil and never http.NoBody, and its request has no
// GetBody: net/http then repeats nothing on its own, not even a GET on a
// reused connection.
type requestBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (requestBody) Close() error { return nil }

// send starts one exchange. The caller closes the body of the response.
func (t *Transport) send(ctx context.Context, r *Request, fresh bool, extra http.Header, body []byte) (*http.Response, *trip, error) {
	req, err := http.NewRequest(r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, &trip{}, err
	}
	req.Header = outgoingHeader(r, extra)
	return t.exchange(ctx, req, fresh, nil, body)
}

// Open sends a request with a body that is repeated on no account, and returns
// the head of the answer. The caller closes the body of the response. sent
// reports whether a byte of the request can have reached the server; it seals
// the connection, so call it only when the request is given up. arrival may be
// nil.
func (t *Transport) Open(ctx context.Context, req *http.Request, arrival *Arrival, body []byte) (resp *http.Response, sent func() bool, err error) {
	resp, tr, err := t.exchange(ctx, req, false, arrival, body)
	return resp, tr.sent, err
}

// DropIdle closes the idle connections to an address.
func (t *Transport) DropIdle(address string) { t.conns.dropIdle(address) }

func (t *Transport) exchange(ctx context.Context, req *http.Request, fresh bool, arrival *Arrival, body []byte) (*http.Response, *trip, error) {
	tr := &trip{}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*trackedConn); ok {
				tr.conn = c
				tr.use, tr.since = c.use()
				if arrival != nil {
					arrival.begin(c)
				}
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && tr.conn != nil {
				tr.conn.release(tr.use)
			}
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.Body = requestBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	via := t.pooled
	if fresh {
		via = t.fresh
	}
	resp, err := via.RoundTrip(req)
	return resp, tr, err
}

// Cancel tells a server that announced it to stop a request.
func (t *Transport) Cancel(ctx context.Context, address, id string) error {
	r := &Request{
		ID:      id,
		Address: address,
		Method:  http.MethodPost,
		Path:    cancelPath,
		Header:  http.Header{"Content-Type": {"application/json"}},
	}
	resp, _, err := t.send(ctx, r, true, nil, []byte(`{"request_id":"`+id+`"}`))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.CopyN(io.Discard, resp.Body, cancelAnswerLimit)
	if err == io.EOF {
		return nil
	}
	return err
}
