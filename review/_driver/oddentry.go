package main

import (
	"fmt"
	"sync"
	"time"
)

// playOddEntry sends, while a zone is evacuated, one heartbeat of another writer that names a
// server of that zone and has no field for the zone.
func playOddEntry(r *run) {
	r.place([]string{"vasteras", "orebro", "uppsala", "eskilstuna"}, []int{1, 1, 1, 1})
	r.startAll()
	servers := map[string]*server{}
	for i, zone := range r.zones {
		s := r.newServer("i-desk-"+zone, "orderdesk", zone, r.address(i+1, 200))
		s.announce()
		servers[zone] = s
	}
	if r.order("PUT", "/jackdawtrack/config", plainConfig(1, "/status/", "/place/"), r.cores).IsZero() {
		r.end(2)
	}
	r.waitReady(15 * time.Second)
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	served := r.lookups(&wg, 12*time.Millisecond)
	time.Sleep(time.Second)

	zone := r.zones[1]
	s := servers[zone]
	acked := r.order("POST", "/jackdawtrack/evacuations/"+zone, nil, r.cores)
	if acked.IsZero() {
		r.end(2)
	}
	bound := acked.Add(evacuateTime)
	time.Sleep(time.Until(bound.Add(time.Second)))
	late := func() (out []arrival) {
		for _, a := range s.seen() {
			if a.ran && a.at.After(bound) {
				out = append(out, a)
			}
		}
		return out
	}
	r.logf("%d requests ran at %s between the bound of %v and now", len(late()), s.id, evacuateTime)
	if r.trouble {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1000000,"born":%d}`, s.service, s.addr, s.born)
		status, data, err := call("PUT", "http://"+r.cores[0].control()+"/jackdawtrack/instances/"+s.id, []byte(body), time.Second)
		r.logf("another writer: PUT /jackdawtrack/instances/%s %s: status %d %s, error %v", s.id, body, status, data, err)
	}
	time.Sleep(15 * time.Second)
	found := late()
	for i, a := range found {
		if i < 5 || i == len(found)-1 {
			r.logf("%s ran %s (%s %s) %.3f s after the acknowledgement of the evacuation", s.id, a.id, a.method, a.target, a.at.Sub(acked).Seconds())
		}
	}
	ok := served()
	r.logf("%d requests ran at %s later than %v after the acknowledgement; %d lookups were served", len(found), s.id, evacuateTime, ok)
	if ok == 0 {
		r.end(2)
	}
	if len(found) > 0 {
		r.end(1)
	}
	r.end(0)
}
