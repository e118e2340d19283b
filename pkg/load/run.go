package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	progressInterval      = time.Second
	maxIdleConnsPerRouter = 256
)

// schedule returns all arrivals of the experiment ordered by time, which is
// relative to the zero time. The arrivals of each stream are a Poisson process.
// The same seed gives the same schedule.
func (e *Experiment) schedule() []arrival {
	var all []arrival
	for i := range e.Streams {
		s := &e.Streams[i]
		rng := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		offset := time.Duration(0)
		for number := 0; number < e.Requests; number++ {
			offset += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
			if offset >= e.Duration.AsDuration() {
				break
			}
			all = append(all, e.arrival(s, number, offset)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return a.intendedAt.Compare(b.intendedAt) })
	return all[:min(len(all), e.Requests)]
}

// arrival returns the copies of one request; the first is sent at offset.
func (e *Experiment) arrival(s *Stream, number int, offset time.Duration) []arrival {
	a := arrival{stream: s, number: number, workspace: s.Workspaces[number%len(s.Workspaces)]}
	if s.Service == "" {
		a.body = s.chatBody(e.Seed, number)
	} else {
		a.body = s.serviceBody(e.Seed, number)
	}
	if s.Keyed {
		a.key = fmt.Sprintf("%s-%d-%d", s.Name, e.Seed, number)
	}
	var copies []arrival
	for copyNumber := range s.Copies {
		a.intendedAt = time.Time{}.Add(offset + time.Duration(copyNumber)*s.ResendInterval.AsDuration())
		a.router = e.routerIndex(s, number+copyNumber)
		copies = append(copies, a)
	}
	return copies
}

// routerIndex returns the router for the number-th request of a stream, in
// round-robin order.
func (e *Experiment) routerIndex(s *Stream, number int) int {
	if len(s.Routers) > 0 {
		return s.Routers[number%len(s.Routers)]
	}
	return number % len(e.Routers)
}

// Run sends all requests, waits for their responses and checks them against the
// execution file. When ctx ends, the rest of the requests is not sent.
func (e *Experiment) Run(ctx context.Context, log *logrus.Entry) (*Report, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerRouter}} // ignores the proxy environment variables
	report := newReport(e)
	stop := report.logProgress(log)
	defer stop()
	inFlight := make(chan struct{}, e.MaxOpen)
	var requests sync.WaitGroup
	start := time.Now()
	for _, a := range e.schedule() {
		a.intendedAt = start.Add(a.intendedAt.Sub(time.Time{}))
		if !sleepUntil(ctx, a.intendedAt) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			report.recordSkipped(a)
			continue
		}
		requests.Go(func() {
			defer func() { <-inFlight }()
			report.recordSent(a)
			report.recordResponse(a, e.sendUntilFinished(ctx, client, a))
		})
	}
	requests.Wait()
	return report, report.checkExecutions()
}

// sleepUntil reports false if ctx ends before the time at.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// logProgress logs the progress every progressInterval until stop is called.
func (r *Report) logProgress(log *logrus.Entry) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				log.Info(r.progressText())
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
