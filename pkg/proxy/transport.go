// Package proxy forwards a request to one BackendServer and streams the response
// to the caller. It checks that the response carries the id of the request,
// cancels streams that make no progress, and resumes broken ones if the server
// supports that. It never sends a request twice on its own, and it reports whether
// a byte of the request can have reached the server.
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
	// milliseconds away, so a handshake that takes longer means a lost host.
	connectTimeout = time.Second
	// idleTimeout closes pooled connections. It is short because an idle
	// connection can stop responding for good, and the request that then uses it
	// fails only after its progress timeout.
	idleTimeout = 5 * time.Second
	// keepAlivePeriod is the interval of TCP keep-alive probes, with which the
	// kernel detects a lost host during an open stream.
	keepAlivePeriod       = 2 * time.Second
	keepAliveProbes       = 3
	maxIdleConnsPerServer = 256
	// Buffer sizes of one connection. They are small because thousands of streams
	// stay open. Larger reads and writes bypass the buffers.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// receiveBufferBytes is the kernel's receive buffer of a connection. Without it the
	// buffer grows to many megabytes, which stay unread while a caller reads slowly.
	receiveBufferBytes = 32 << 10
	// maxCancelResponseBytes bounds what is read of the response to a cancel
	// request.
	maxCancelResponseBytes = 4 << 10
	maxResponseHeaderBytes = 64 << 10
)

// Transport sends requests to BackendServers over pooled or new connections. It is
// safe for concurrent use.
type Transport struct {
	conns    *connTable
	pooled   *http.Transport
	unpooled *http.Transport // uses a new connection for each request

	identifier identifier
}

// Options are the timeouts of a Transport. A zero value selects the default.
type Options struct {
	ConnectTimeout time.Duration // timeout of a TCP handshake
	IdleTimeout    time.Duration // after this time an idle connection is closed
	// Identity is how servers are asked which process they are, for requests with an
	// Identification. It is nil to ask none.
	Identity Identity
}

// NewTransport returns a Transport with the default timeouts.
func NewTransport() *Transport { return NewTransportWithOptions(Options{}) }

// NewTransportWithOptions returns a Transport with the given timeouts.
func NewTransportWithOptions(o Options) *Transport {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = connectTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleTimeout
	}
	t := &Transport{conns: newConnTable(), identifier: identifier{identity: o.Identity, unanswered: map[string]time.Time{}}}
	t.pooled = t.newHTTPTransport(o, false)
	t.unpooled = t.newHTTPTransport(o, true)
	return t
}

// newHTTPTransport returns a transport whose connections are in the table of t.
func (t *Transport) newHTTPTransport(o Options, unpooled bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: o.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlivePeriod,
			Interval: keepAlivePeriod,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return t.dial(ctx, dialer, network, addr)
		},
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

// dial opens a connection to a server, and asks the server which process it is if the request
// wants that.
func (t *Transport) dial(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
	c, err := dialConn(ctx, dialer, network, addr)
	if err != nil {
		return nil, err
	}
	if !t.identifier.shouldAsk(ctx, addr) {
		return t.conns.add(addr, c), nil
	}
	startMS, err := t.identifier.ask(c, addr)
	if err == nil {
		tracked := t.conns.add(addr, c)
		tracked.startMS = startMS
		return tracked, nil
	}
	_ = c.Close()
	t.identifier.recordUnanswered(addr)
	if c, err = dialConn(ctx, dialer, network, addr); err != nil {
		return nil, err
	}
	return t.conns.add(addr, c), nil
}

func dialConn(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes) // fails on a closed connection only, as the request does
	}
	return c, nil
}

// Identified returns how many servers were asked on a new connection which process they are,
// and how many of them did not state it.
func (t *Transport) Identified() (asked, failed int64) {
	return t.identifier.asked.Load(), t.identifier.failed.Load()
}

// Close closes all idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// roundTrip is one HTTP exchange and its connection, nil until there is one.
type roundTrip struct {
	conn         *trackedConn
	reused       bool   // the connection was idle before
	use          uint64 // number of this exchange on the connection
	writesBefore uint64 // Write calls on the connection before this exchange
}

// abort disables further writes on the connection and reports whether a byte of
// the request can have reached the server. The result is final.
func (t *roundTrip) abort() bool {
	if t.conn == nil {
		return false
	}
	return t.conn.disableWrites(t.writesBefore)
}

// requestBody is a request body that is neither nil nor http.NoBody, in a request
// without GetBody. net/http then never replays the request on its own, not even a
// GET on a reused connection.
type requestBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (requestBody) Close() error { return nil }

// sendRequest sends r with the extra headers and the body instead of r.Body. The
// caller closes the body of the response. The round trip is never nil.
func (t *Transport) sendRequest(ctx context.Context, r *Request, unpooled bool, extra http.Header, body []byte) (*http.Response, *roundTrip, error) {
	target, refusal := ServerURL(r.Address, r.Path)
	if refusal != nil {
		return nil, &roundTrip{}, refusal
	}
	req := &http.Request{Method: r.Method, Host: r.Address, URL: target, Header: requestHeader(r, extra), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	return t.exchange(ctx, req, unpooled, nil, body)
}

// SendRequest sends a request that is never replayed, with body as its body,
// and returns the response once its head has arrived. The caller closes the
// body of the response. abort disables further writes on the connection and
// reports whether a byte of the request can have reached the server; call it
// only to give up the request. unread detects unread bytes of the response and
// may be nil.
func (t *Transport) SendRequest(ctx context.Context, req *http.Request, unread *UnreadMonitor, body []byte) (resp *http.Response, abort func() bool, err error) {
	resp, tr, err := t.exchange(ctx, req, false, unread, body)
	return resp, tr.abort, err
}

// CloseIdleTo closes the idle connections to an address.
func (t *Transport) CloseIdleTo(address string) { t.conns.closeIdle(address) }

// exchange sends req with the given body over a pooled connection, or over a new
// one if unpooled is set. If a pooled connection fails before a byte of the request can
// have reached the server, another one is used: its server may have closed it while it
// was idle, and takes requests on others.
func (t *Transport) exchange(ctx context.Context, req *http.Request, unpooled bool, unread *UnreadMonitor, body []byte) (*http.Response, *roundTrip, error) {
	// Each turn takes an idle connection out of the pool, and a new one ends the loop.
	for {
		resp, tr, err := t.exchangeOnce(ctx, req, unpooled, unread, body)
		if err == nil || ctx.Err() != nil || !tr.reused || tr.abort() {
			if tr.conn != nil && tr.conn.isOtherProcess() {
				err = ErrOtherProcess // net/http does not always wrap the error of the connection
			}
			return resp, tr, err
		}
	}
}

// exchangeOnce sends req on one connection.
func (t *Transport) exchangeOnce(ctx context.Context, req *http.Request, unpooled bool, unread *UnreadMonitor, body []byte) (*http.Response, *roundTrip, error) {
	tr := &roundTrip{}
	end := newResponseEnd()
	trace := &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { end.wrote(info.Err) },
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*trackedConn); ok {
				tr.conn, tr.reused = c, info.Reused
				if id := identificationOf(ctx); id != nil && !id.admits(c) {
					c.refuseOtherProcess()
				}
				tr.use, tr.writesBefore = c.use(info.Reused)
				end.begin(c, tr.writesBefore)
				if unread != nil {
					unread.attach(c)
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
	transport := t.pooled
	if unpooled {
		transport = t.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err == nil && tr.conn != nil && !IsFramed(resp) {
		tr.conn.end.Store(end)
	}
	return resp, tr, err
}

// Cancel asks a server that announced the cancel ability to stop the request with
// the id.
func (t *Transport) Cancel(ctx context.Context, address, id string) error {
	r := &Request{
		ID:      id,
		Address: address,
		Method:  http.MethodPost,
		Path:    cancelPath,
		Header:  http.Header{"Content-Type": {"application/json"}},
	}
	resp, _, err := t.sendRequest(ctx, r, true, nil, []byte(`{"request_id":"`+id+`"}`))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.CopyN(io.Discard, resp.Body, maxCancelResponseBytes)
	if err == io.EOF {
		return nil
	}
	return err
}
