package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	freezeTime = 1700 * time.Millisecond // of a core machine
	lastTurn   = 90 * time.Second        // after which no further turn begins
	settleTime = 400 * time.Millisecond  // after the frozen machine has woken
)

// arrival is a request that a server ran.
type arrival struct {
	id, server, zone string
	at               time.Time
}

// arrivals holds the requests that servers ran.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

// serve answers a request of the plain service.
func (a *arrivals) serve(s *server, w http.ResponseWriter, r *http.Request, _ string) {
	a.mu.Lock()
	a.all = append(a.all, arrival{r.Header.Get("Jackdawtrack-Request-Id"), s.id, s.zone, time.Now()})
	a.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	_, _ = io.WriteString(w, "order-status")
}

// since returns the requests that ran in the zones after the given time.
func (a *arrivals) since(t time.Time, in []string) (out []arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.all {
		if one.at.After(t) && slices.Contains(in, one.zone) {
			out = append(out, one)
		}
	}
	return out
}

// plainConfig has one service of orders and a route whose requests may be repeated.
func plainConfig() []byte {
	data, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "order-status", "host": "a.example", "pathPrefix": "/status/", "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1,
			"service": "orderdesk", "maxAttempts": 2, "public": false, "sticky": false, "streamResume": false,
		}},
		"services": []map[string]any{{"name": "orderdesk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 250000},
		"tenants":  []map[string]any{{"name": "t1", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
	return data
}

// staleOrder takes zones out, back in and out again while one core machine stands still, in
// several turns. The calls that take the zones back in go to that machine first, get no answer
// within a second, and are then acknowledged by another one.
func staleOrder(r *record, trouble bool) (verdict, error) {
	f, err := newFleet(r, 4, 4)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	if _, err := f.order(f.cores, "PUT", "/jackdawtrack/config", plainConfig()); err != nil {
		return verdict{}, err
	}
	arrivals := &arrivals{}
	for i, z := range zones {
		s := &server{f: f, id: fmt.Sprintf("i-%s", z), service: "orderdesk", zone: z, home: i, handle: arrivals.serve}
		if err := s.start("v1"); err != nil {
			return verdict{}, err
		}
		defer s.kill()
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	end, served := make(chan struct{}), make(chan int, 1)
	go func() { served <- f.sendPlainRequests(end) }()
	time.Sleep(2 * time.Second)

	out := zones[3:]
	frozen, others := f.cores[1], slices.Concat(f.cores[2:], f.cores[:1])
	all := append([]*process{frozen}, others...)
	if _, err := f.orderAll(all, "POST", out); err != nil {
		return verdict{}, err
	}
	late, turns := 0, 0
	for late == 0 && time.Since(r.start) < lastTurn {
		turns++
		time.Sleep(300 * time.Millisecond)
		woken := make(chan time.Time, 1)
		if trouble {
			f.signal(frozen, syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { f.signal(frozen, syscall.SIGCONT); woken <- time.Now() })
		} else {
			woken <- time.Now()
		}
		if _, err := f.orderAll(all, "DELETE", out); err != nil {
			return verdict{}, err
		}
		acknowledged, err := f.orderAll(others, "POST", out)
		if err != nil {
			return verdict{}, err
		}
		wokenAt := <-woken
		settled := max(wokenAt.Sub(acknowledged), 0) + settleTime
		time.Sleep(time.Until(acknowledged.Add(settled)))
		if arrivals.since(acknowledged.Add(settled-settleTime/2), out) == nil {
			continue // the zones are out
		}
		// By then the orders are in force at every machine in touch, also after an unstable core.
		due := acknowledged.Add(evacuateTime + outerTime)
		if touch := wokenAt.Add(contactTime); touch.After(due) {
			due = touch
		}
		time.Sleep(time.Until(due.Add(time.Second)))
		for _, a := range arrivals.since(due, out) {
			late++
			r.printf("%s ran at %s in %s, %.1f s after the acknowledgement that the zone is out", a.id, a.server, a.zone, a.at.Sub(acknowledged).Seconds())
		}
	}
	close(end)
	r.printf("clients: %d requests answered with 200", <-served)
	text := fmt.Sprintf("EVAC: in %d turns, %d requests reached zones later than %.0f s after their evacuation was acknowledged", turns, late, (evacuateTime + outerTime).Seconds())
	return verdict{late > 0, text}, nil
}

// orderAll sends the order for each zone at the same time and returns when the last one was
// acknowledged.
func (f *fleet) orderAll(cores []*process, method string, out []string) (last time.Time, err error) {
	var mu sync.Mutex
	var orders sync.WaitGroup
	for _, z := range out {
		orders.Go(func() {
			at, orderErr := f.order(cores, method, "/jackdawtrack/evacuations/"+z, nil)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, orderErr)
			if at.After(last) {
				last = at
			}
		})
	}
	orders.Wait()
	return last, err
}

// sendPlainRequests sends 10 requests a second to each entry host until end is closed, and
// returns how many were answered with success.
func (f *fleet) sendPlainRequests(end <-chan struct{}) (served int) {
	client := &http.Client{Timeout: time.Second}
	var mu sync.Mutex
	var sent sync.WaitGroup
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-end:
			sent.Wait()
			return served
		case <-ticker.C:
		}
		for i, p := range f.edges {
			sent.Go(func() {
				req, _ := http.NewRequest("GET", "http://"+f.controlAddress(p)+"/status/2f", nil)
				req.Host = "a.example"
				req.Header.Set("Jackdawtrack-Request-Id", fmt.Sprintf("%08x-%d", n, i))
				req.Header.Set("Jackdawtrack-Deadline-Ms", "1000")
				req.Header.Set("Authorization", "Bearer key-1")
				resp, err := client.Do(req)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	}
}
