package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// chatConfig has one service of engines and a route whose streams may be resumed.
func chatConfig() []byte {
	data, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "order-chat", "host": "a.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 300, "priority": 1,
			"service": "textmodell", "maxAttempts": 2, "public": false, "sticky": true, "streamResume": true, "targetItlMs": 200,
		}},
		"services": []map[string]any{{
			"name": "textmodell", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 629359, "kvTokenBytes": 163840, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 250000},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
	return data
}

// chat is a stream as its client has received it.
type chat struct {
	id       string
	status   int
	events   []string // data of the events
	versions []string // that wrote them, in order
	writers  []string // servers and versions that wrote them, in order
	complete bool
}

// startChat sends a request for a stream and reads its answer.
func (f *fleet) startChat(p *process, id string) (c chat) {
	c.id = id
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	req, _ := http.NewRequest("POST", "http://"+f.controlAddress(p)+"/chat/2f", strings.NewReader("{}"))
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Jackdawtrack-Request-Id": id, "Jackdawtrack-Deadline-Ms": "12000", "Authorization": "Bearer key-1", "Jackdawtrack-Model": "m",
		"Jackdawtrack-Token-Count": "826,290", "Jackdawtrack-Prompt-Prefix": fmt.Sprintf("5c1e07a2:198,%08x:628", time.Now().UnixNano()&0xffffffff),
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return c
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || resp.StatusCode != http.StatusOK {
			continue
		}
		c.events = append(c.events, data)
		if n := len(c.writers); n == 0 || c.writers[n-1] != data {
			c.writers = append(c.writers, data)
		}
		if _, v, _ := strings.Cut(data, "/"); !slices.Contains(c.versions, v) {
			c.versions = append(c.versions, v)
		}
	}
	c.complete = lines.Err() == nil && resp.StatusCode == http.StatusOK
	return c
}

// startEngines starts nine engines of version v1, as on the sheet.
func (f *fleet) startEngines(events int) ([]*server, error) {
	var servers []*server
	for i := range 9 {
		s := &server{f: f, id: fmt.Sprintf("i-%d", i+1), service: "textmodell", zone: zones[i%len(zones)], events: events, gap: 100 * time.Millisecond}
		if err := s.start("v1"); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// unnoticedRestart upgrades four of nine engines in place, one after the other: each ends and
// starts again under its id with another software version. The heartbeats of the new processes
// are late. No stream runs at the first three when they end.
func unnoticedRestart(r *record, trouble bool) (verdict, error) {
	const (
		streams  = 400
		events   = 40
		lateness = 4 * time.Second
		downTime = 400 * time.Millisecond
		gap      = time.Second // from one upgrade to the next
	)
	f, err := newFleet(r, 4, 5)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	if _, err := f.order(f.cores, "PUT", "/jackdawtrack/config", chatConfig()); err != nil {
		return verdict{}, err
	}
	servers, err := f.startEngines(events)
	if err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	upgrade := func(s *server) error {
		if !trouble {
			time.Sleep(downTime)
			return nil
		}
		s.kill()
		time.Sleep(downTime)
		s.setLateness(lateness)
		return s.start("v2")
	}
	for _, s := range servers[:3] {
		if err := upgrade(s); err != nil {
			return verdict{}, err
		}
		time.Sleep(gap - downTime)
	}
	var mu sync.Mutex
	var chats []chat
	var open sync.WaitGroup
	for n := range streams {
		open.Go(func() {
			c := f.startChat(f.edges[n%len(f.edges)], fmt.Sprintf("chat-%03d", n))
			mu.Lock()
			defer mu.Unlock()
			chats = append(chats, c)
		})
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if err := upgrade(servers[3]); err != nil {
		return verdict{}, err
	}
	open.Wait()
	mixed, whole := 0, 0
	slices.SortFunc(chats, func(a, b chat) int { return strings.Compare(a.id, b.id) })
	for _, c := range chats {
		r.printf("client: %s got status %d, %d events, complete: %v, written by versions %v: %s", c.id, c.status, len(c.events), c.complete, c.versions, strings.Join(c.writers, " "))
		if len(c.versions) > 1 {
			mixed++
		}
		if c.complete && len(c.events) == events {
			whole++
		}
	}
	text := fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions; %d are complete", mixed, len(chats), whole)
	return verdict{mixed > 2, text}, nil
}
