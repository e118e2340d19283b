package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// link carries the calls of one server to one core host over a kept connection. While it is
// cut, what is sent on the connection is held up. TCP sends it again 0.2, 0.6, 1.4, 3.0, 6.2
// s after the first time, so it arrives with the first of these after the cut has healed.
type link struct {
	run  *run
	to   *machine
	mu   sync.Mutex
	conn net.Conn
	cut  bool
	heal chan struct{} // closed when the cut has healed
}

// repeats are the times at which TCP sends again, after the first time.
var repeats = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond, 12600 * time.Millisecond}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut = cut; cut {
		l.heal = make(chan struct{})
	} else {
		close(l.heal)
	}
}

// send writes a call to the kept connection, which it opens if there is none. During a cut
// the call is held up, and no connection is opened.
func (l *link) send(call []byte) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil && l.cut {
		return nil, fmt.Errorf("no connection to %s", l.to.name)
	}
	if l.conn == nil {
		c, err := net.DialTimeout("tcp", l.to.control(), time.Second)
		if err != nil {
			return nil, err
		}
		l.conn = c
	}
	c := l.conn
	if !l.cut {
		_, err := c.Write(call)
		return c, err
	}
	// The sender may end meanwhile: its kernel goes on.
	l.conn = nil
	sent, heal := time.Now(), l.heal
	go func() {
		<-heal
		for _, again := range repeats {
			if at := sent.Add(again); time.Now().Before(at) {
				time.Sleep(time.Until(at))
				break
			}
		}
		l.run.logf("what was held up on the way to %s arrives, %.1f s after it was sent", l.to.name, time.Since(sent).Seconds())
		_, writeErr := c.Write(call)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		answer := make([]byte, 200)
		n, err := c.Read(answer)
		l.run.logf("%s answers %.15q to it, which nobody reads (%v, %v)", l.to.name, answer[:n], writeErr, err)
		_ = c.Close()
	}()
	return c, fmt.Errorf("held up")
}

// call sends a call of a server and reports whether it was acknowledged within a second.
func (l *link) call(method, path string, body []byte) bool {
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, l.to.control())
	if body != nil {
		request += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	c, err := l.send(append([]byte(request+"\r\n"), body...))
	if err != nil {
		time.Sleep(time.Second)
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 4096)
	n, err := c.Read(answer)
	return err == nil && n > 12 && string(answer[9:12]) == "200"
}

// quoteConfig adds a route to a further service to plainConfig.
func quoteConfig(version int) []byte {
	var c map[string]any
	check(json.Unmarshal(plainConfig(version, "/status/", "/place/"), &c))
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-quote", "host": orderHost, "pathPrefix": "/quote/", "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
		"service": "quotedesk", "maxAttempts": 2, "public": false, "sticky": false, "streamResume": false,
	})
	c["services"] = append(c["services"].([]any), map[string]any{"name": "quotedesk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0})
	data, err := json.Marshal(c)
	check(err)
	return data
}

// playWithdrawal lets the server of a route that was added later withdraw and start again
// under its id while it is partitioned from the core hosts.
func playWithdrawal(r *run) {
	r.place([]string{"vasteras", "orebro", "uppsala", "eskilstuna"}, []int{1, 1, 0, 0})
	r.startAll()
	for i, zone := range r.zones {
		r.newServer("i-desk-"+zone, "orderdesk", zone, r.address(i+1, 200)).announce()
	}
	links := []*link{}
	for _, m := range r.cores {
		links = append(links, &link{run: r, to: m})
	}
	const id, path = "i-quote", "/jackdawtrack/instances/i-quote"
	quote := r.newServer(id, "quotedesk", r.zones[0], r.address(1, 201))
	// The server calls one core host until that fails, then the next one.
	current := 1
	callNext := func(method string, body []byte) bool {
		for range links {
			if links[current].call(method, path, body) {
				return true
			}
			current = (current + 1) % len(links)
		}
		return false
	}
	announce := func(end chan struct{}, acknowledged func(at *machine)) {
		for {
			quote.mu.Lock()
			quote.sequence++
			body := fmt.Sprintf(`{"service":"quotedesk","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`, quote.addr, quote.zone, quote.sequence, quote.born)
			quote.mu.Unlock()
			if callNext("PUT", []byte(body)) {
				acknowledged(links[current].to)
			}
			select {
			case <-end:
				return
			case <-time.After(heartbeatTime):
			}
		}
	}
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		announce(end, func(*machine) {})
	}()
	if r.order("PUT", "/jackdawtrack/config", plainConfig(1, "/status/", "/place/"), r.cores).IsZero() {
		r.end(2)
	}
	r.waitReady(15 * time.Second)
	time.Sleep(contactTime)
	if r.order("PUT", "/jackdawtrack/config", quoteConfig(2), r.cores).IsZero() {
		r.end(2)
	}
	time.Sleep(configApplyTime)
	first, added := r.servedOf("/status/", 20), r.servedOf("/quote/", 20)
	r.logf("served before: %d of 20 on the first route, %d of 20 on the added one", first, added)
	if first < 15 || added < 15 {
		r.end(2)
	}

	close(end) // its next call would be the withdrawal
	<-ended
	cutAt := time.Now()
	if r.trouble {
		r.logf("%s is partitioned from the core hosts", id)
		for _, l := range links {
			l.setCut(true)
		}
	}
	time.Sleep(200 * time.Millisecond)
	r.logf("%s sends its withdrawal to %s first", id, links[current].to.name)
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- callNext("DELETE", nil) }()
	time.Sleep(3300 * time.Millisecond) // it serves on, and exits without an acknowledgement
	check(quote.http.Close())
	select {
	case ok := <-acknowledged:
		r.logf("%s exits, its withdrawal was acknowledged: %v", id, ok)
	default:
		r.logf("%s exits without an acknowledgement", id)
	}
	time.Sleep(500 * time.Millisecond)
	quote.mu.Lock()
	quote.born, quote.sequence = time.Now().UnixMilli(), 0
	quote.mu.Unlock()
	l, err := net.Listen("tcp", quote.addr)
	check(err)
	quote.http = &http.Server{Handler: quote}
	go quote.http.Serve(l)
	r.logf("%s starts again under its id", id)
	beats := 0
	var mu sync.Mutex
	again := make(chan struct{})
	go announce(again, func(at *machine) {
		mu.Lock()
		defer mu.Unlock()
		if beats++; beats == 1 {
			r.logf("the first heartbeat of the new process is acknowledged by %s", at.name)
		}
	})
	time.Sleep(time.Until(cutAt.Add(5 * time.Second)))
	if r.trouble {
		r.logf("the partition heals")
		for _, l := range links {
			l.setCut(false)
		}
	}
	time.Sleep(time.Until(cutAt.Add(15 * time.Second))) // far beyond contactMs after the last event
	first, added = r.servedOf("/status/", 60), r.servedOf("/quote/", 60)
	mu.Lock()
	r.logf("served after: %d of 60 on the first route, %d of 60 on the added one; %d heartbeats of the new process were acknowledged", first, added, beats)
	mu.Unlock()
	switch {
	case first < 30:
		r.end(2)
	case 4*added < first:
		r.end(1)
	}
	r.end(0)
}

// servedOf sends requests with the prefix to the edge hosts in turn, five a second and more,
// and returns how many were answered with success.
func (r *run) servedOf(prefix string, count int) (served int) {
	for i := range count {
		a := r.send(r.edges[i%len(r.edges)], "GET", orderHost, fmt.Sprintf("%s%d", prefix, i), orderKey, nil, time.Second, nil)
		if a.err == nil && a.status == 200 && a.header.Get("Jackdawtrack-Response-Seal") != "" {
			served++
		} else {
			r.logf("client: GET %s%d: status %d, error %v", prefix, i, a.status, a.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return served
}
