package router

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// fullCaller takes what a handler writes, as net/http does, but the connection takes nothing.
type fullCaller struct {
	*httptest.ResponseRecorder
	err error
}

// FlushError is called by http.ResponseController.
func (c *fullCaller) FlushError() error { return c.err }

// Guards against a response of a few KB that is recorded as whole although it could not be
// written: it fits into the buffer of net/http, which an earlier response keeps full.
func TestSmallResponseThatCannotBeWrittenIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		code result.Code
	}{
		"written":                  {nil, result.OK},
		"the caller reads nothing": {os.ErrDeadlineExceeded, result.CallerLeft},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(NewConfig(), pool.RouterID{Name: "r1", DataCentre: "z"}, Dependencies{Catalog: catalog.NewStore(), Ownership: NewStaticOwnership(pool.RouterID{Name: "r1"}), Pool: pool.DefaultConfig()})
			defer r.Close()
			q := &request{id: "x", decision: &Decision{}, arrivedAt: time.Now()}
			sink := newCallerSink(&fullCaller{httptest.NewRecorder(), c.err}, 0, false)
			assert.NilError(t, sink.WriteHead(http.StatusOK, http.Header{"Content-Length": {"5"}}))
			_, err := sink.Write([]byte("hello"))
			assert.NilError(t, err)
			func() {
				defer func() { _ = recover() }() // a response that cannot go on is aborted
				r.finishResponse(q, sink, proxy.Report{HeadWritten: true}, nil)
			}()
			assert.Equal(t, result.Code(q.decision.Code), c.code)
			aborted := metrics.GetOrRegisterCounter(abortedMetric, r.metrics).Count()
			assert.Equal(t, aborted == 1, c.err != nil)
		})
	}
}
