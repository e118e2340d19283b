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
	progressInterval = time.Second
	idlePerRouter    = 256
)

// schedule returns all arrivals of the experiment in order of their times,
// measured from the start. The same seed gives the same schedule.
func (e *Experiment) schedule() []arrival {
	var all []arrival
	for i := range e.Streams {
		s := &e.Streams[i]
		random := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		after := time.Duration(0)
		for number := 0; number < e.Requests; number++ {
			after += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
			if after >= e.Duration.AsDuration() {
				break
			}
			all = append(all, e.arrival(s, number, after)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all[:min(len(all), e.Requests)]
}

// arrival returns the copies of one request.
func (e *Experiment) arrival(s *Stream, number int, after time.Duration) []arrival {
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
	for c := range s.Copies {
		a.at = time.Time{}.Add(after + time.Duration(c)*s.Resend.AsDuration())
		a.router = e.routerOf(s, number+c)
		copies = append(copies, a)
	}
	return copies
}

func (e *Experiment) routerOf(s *Stream, turn int) int {
	if len(s.Routers) > 0 {
		return s.Routers[turn%len(s.Routers)]
	}
	return turn % len(e.Routers)
}

// Run sends all requests, waits for their answers and returns the report.
func (e *Experiment) Run(ctx context.Context, log *logrus.Entry) (*Report, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerRouter}} // no proxy of the environment
	report := newReport(e)
	stop := report.showProgress(log)
	defer stop()
	open := make(chan struct{}, e.MaxOpen)
	var running sync.WaitGroup
	start := time.Now()
	for _, a := range e.schedule() {
		a.at = start.Add(a.at.Sub(time.Time{}))
		if !sleepUntil(ctx, a.at) {
			break
		}
		select {
		case open <- struct{}{}:
		default:
			report.skip(a)
			continue
		}
		running.Go(func() {
			defer func() { <-open }()
			report.begin(a)
			report.end(a, e.sendUntilKnown(ctx, client, a))
		})
	}
	running.Wait()
	return report, report.readExecutions()
}

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

// showProgress logs the state each progressInterval until stop is called.
func (r *Report) showProgress(log *logrus.Entry) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				log.Info(r.progress())
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
