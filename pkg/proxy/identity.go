package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// identifyTimeout bounds the wait for the answer of a server that is asked which process
	// it is. The answer needs no slot, so it takes a round trip of a few milliseconds; a
	// later one would delay the request that waits for the connection.
	identifyTimeout = 100 * time.Millisecond
	// identifyRetryInterval is how long a server that did not answer is not asked again.
	identifyRetryInterval = 10 * time.Second
	// maxIdentityBytes bounds the answer, which has a few hundred bytes.
	maxIdentityBytes = 64 << 10
	// maxUnanswered bounds the servers that are remembered for not answering.
	maxUnanswered = 1 << 12
)

// ErrOtherProcess is returned for a request that was not sent, because another process than
// the one it needs has answered on the connection.
var ErrOtherProcess = errors.New("another process has taken the place of the server")

var errNotIdentified = errors.New("the server did not state which process it is")

// Identity tells how a server is asked which process it is.
type Identity interface {
	// IdentityPath is the path of the request, which a server answers without a slot.
	IdentityPath() string
	// ReadIdentity returns the start of the process in Unix milliseconds by its own clock, 0
	// if the response does not state that.
	ReadIdentity(status int, body []byte) int64
}

// Identification has the server of a new connection asked which process it is, before the
// first request on it. A connection leads to one process as long as it lives, so the answer
// holds for all requests on it. A connection whose server does not answer in time is replaced
// by one that is not asked, so that no request depends on the answer.
type Identification struct {
	// Wanted is the start of the only process that may get the request, in Unix
	// milliseconds, 0 if any may. A connection whose process is not known may be used.
	Wanted  int64
	startMS atomic.Int64
}

// StartMS returns the start of the process that the request was sent to last, 0 if it is not
// known.
func (i *Identification) StartMS() int64 { return i.startMS.Load() }

type identificationKey struct{}

// WithIdentification returns a context for requests that are sent on identified connections.
func WithIdentification(ctx context.Context, i *Identification) context.Context {
	return context.WithValue(ctx, identificationKey{}, i)
}

func identificationOf(ctx context.Context) *Identification {
	i, _ := ctx.Value(identificationKey{}).(*Identification)
	return i
}

// admits sets the process of the connection, and reports whether it may get the request.
func (i *Identification) admits(c *trackedConn) bool {
	if i.Wanted != 0 && c.startMS != 0 && c.startMS != i.Wanted {
		return false
	}
	i.startMS.Store(c.startMS)
	return true
}

// identifier asks servers which process they are. It is safe for concurrent use.
type identifier struct {
	identity Identity     // nil to ask no server
	asked    atomic.Int64 // connections whose servers were asked
	failed   atomic.Int64 // of these, those whose server did not state its process

	mu         sync.Mutex
	unanswered map[string]time.Time // when a server did not answer, by address
}

// shouldAsk reports whether the server of a connection that is opened for the request is asked.
func (i *identifier) shouldAsk(ctx context.Context, address string) bool {
	if i.identity == nil || identificationOf(ctx) == nil {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	at, ok := i.unanswered[address]
	if ok && time.Since(at) >= identifyRetryInterval {
		delete(i.unanswered, address)
		ok = false
	}
	return !ok
}

// recordUnanswered keeps the server from being asked for identifyRetryInterval.
func (i *identifier) recordUnanswered(address string) {
	i.failed.Add(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.unanswered) >= maxUnanswered {
		clear(i.unanswered)
	}
	i.unanswered[address] = time.Now()
}

// ask asks the server on a connection that has carried no request. After an error the
// connection cannot be used.
func (i *identifier) ask(c net.Conn, address string) (startMS int64, err error) {
	i.asked.Add(1)
	if err := c.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return 0, err
	}
	request := "GET " + i.identity.IdentityPath() + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	r := bufio.NewReader(io.LimitReader(c, maxIdentityBytes))
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, err
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return 0, err
	}
	// Bytes after the response would be taken for the response to the first request.
	if resp.StatusCode < http.StatusOK || !IsFramed(resp) || resp.Close || r.Buffered() > 0 {
		return 0, errNotIdentified
	}
	if startMS = i.identity.ReadIdentity(resp.StatusCode, body.Bytes()); startMS == 0 {
		i.recordUnanswered(address) // the connection is sound
	}
	return startMS, c.SetDeadline(time.Time{})
}
