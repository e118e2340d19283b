package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// rawRequest sends a request with the target exactly as given, on a connection of its own.
func (r *run) rawRequest(m *machine, method, target, body string) (id, status string) {
	id = r.newID()
	c, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return id, err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nJackdawtrack-Request-Id: %s\r\nJackdawtrack-Deadline-Ms: 1000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, target, orderHost, id, orderKey, len(body), body)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return id, err.Error()
	}
	return id, strings.TrimSpace(line)
}

// playTarget sends requests whose paths begin with two slashes on routes with the prefix "/".
func playTarget(r *run) {
	r.place([]string{"vasteras", "orebro", "uppsala", "eskilstuna"}, []int{1, 1, 0, 0})
	r.startAll()
	servers := []*server{}
	for i, zone := range r.zones {
		s := r.newServer("i-desk-"+zone, "orderdesk", zone, r.address(i+1, 200))
		s.announce()
		servers = append(servers, s)
	}
	if r.order("PUT", "/jackdawtrack/config", plainConfig(1, "/status/", "/"), r.cores).IsZero() {
		r.end(2)
	}
	r.waitReady(15 * time.Second)
	time.Sleep(contactTime)
	slashes := "/"
	if r.trouble {
		slashes = "//"
	}
	changed, ran := 0, 0
	for i := range 20 {
		method, target := "POST", fmt.Sprintf("%splace/%d", slashes, i)
		if i%2 == 1 {
			method, target = "POST", fmt.Sprintf("%stenant-%d/orders?copy=1", slashes, i)
		}
		id, status := r.rawRequest(r.edges[i%len(r.edges)], method, target, "one order")
		for _, s := range servers {
			for _, a := range s.seen() {
				if a.id != id || !a.ran {
					continue
				}
				ran++
				if a.method != method || a.target != target {
					changed++
				}
				r.logf("client sent %s %s (%s), got %q; server %s ran %s %s: its path is %q, its host %q", method, target, id, status, s.id, a.method, a.target, a.path, a.host)
			}
		}
	}
	r.logf("%d of %d requests ran with another target than the client's", changed, ran)
	switch {
	case ran == 0:
		r.end(2)
	case changed > 0:
		r.end(1)
	}
	r.end(0)
}
