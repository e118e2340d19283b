package router

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// unreachableRecords simulates control that cannot be reached when requests end, until
// reachable is set.
type unreachableRecords struct {
	fakeRecords
	attempts  atomic.Int64
	reachable atomic.Bool
}

func newUnreachableRecords() *unreachableRecords {
	u := &unreachableRecords{}
	u.finishes = make(chan *apiv1.FinishRequest, 1)
	u.begin = func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}
	return u
}

// Finish implements Records.
func (u *unreachableRecords) Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	u.attempts.Add(1)
	if !u.reachable.Load() {
		return nil, errors.New("no majority")
	}
	return u.fakeRecords.Finish(ctx, in)
}

// Guards against a router that stops and loses the end of a keyed request which has been
// answered, and against one whose hard stop waits for a control that cannot be reached.
func TestStopWaitsForRecordOfKeyedRequest(t *testing.T) {
	t.Parallel()
	for _, hardStop := range []bool{false, true} {
		s, tr := newService(t)
		records := newUnreachableRecords()
		s.router.records = records
		graceful, stop := context.WithCancel(context.Background())
		hardCtx, abort := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(graceful, hardCtx) }()
		tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "stock", ProcessingTime: settings.Duration(time.Millisecond)})
		req := tr.request(t, http.MethodPut, "/services/stock/items/7", "order", "{}", proxy.HeaderIdempotencyKey, "k1")
		resp, body := do(t, req)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		stop()
		tr.waitFor(t, "the router reports not ready", func() bool { return !s.router.Ready() })
		seen := records.attempts.Load()
		tr.waitFor(t, "the record is tried again during the stop", func() bool { return records.attempts.Load() >= seen+3 })
		select {
		case err := <-ended:
			t.Fatalf("the router has stopped without the record: %v", err)
		default:
		}
		if hardStop {
			abort()
			assert.ErrorIs(t, <-ended, errHardStop)
			s.router.recordWrites.Wait()
			assert.Equal(t, len(records.finishes), 0)
			continue
		}
		records.reachable.Store(true)
		assert.NilError(t, <-ended)
		abort()
		assert.Equal(t, len(records.finishes), 1, "the end of the request is not recorded")
		finish := <-records.finishes
		assert.Assert(t, !finish.Unknown)
		assert.Equal(t, string(finish.Answer.Body), body)
	}
}

// Guards against a record of a keyed request that is lost without a line in the log, or
// whose attempts go on after the router has closed or the time for them is over.
func TestAttemptsToRecordEndAtAStop(t *testing.T) {
	for name, c := range map[string]struct {
		closeAfter time.Duration // 0 if the router goes on
		want       time.Duration // until the attempts end
		line       string
	}{
		"at a stop":    {5*recordRetryInterval + recordRetryInterval/2, 5*recordRetryInterval + recordRetryInterval/2, "the finish of a keyed request was not recorded before shutdown"},
		"in the end":   {0, recordTimeout, "the finish of a keyed request could not be recorded in time"},
		"after a stop": {time.Nanosecond, time.Nanosecond, "the finish of a keyed request was not recorded before shutdown"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				logger := logrus.New()
				logger.SetOutput(&out)
				r := &Router{closing: make(chan struct{}), log: logrus.NewEntry(logger)}
				begun := time.Now()
				attempts := 0
				r.retryUntilRecorded("finish", func(context.Context) error {
					attempts++
					return errors.New("no majority")
				})
				if c.closeAfter > 0 {
					time.AfterFunc(c.closeAfter, func() { close(r.closing) })
				}
				r.recordWrites.Wait()
				assert.Equal(t, time.Since(begun), c.want)
				assert.Assert(t, attempts >= int(c.want/recordRetryInterval), "%d attempts", attempts)
				assert.Equal(t, strings.Count(out.String(), c.line), 1, out.String())
				assert.Assert(t, strings.Contains(out.String(), "no majority"), "the cause is not logged: %s", out.String())
			})
		})
	}
}
