package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// lateRecord cuts one of nine engines off from control, where it ends and starts again under
// its id with another software version. Streams begin there at once. After the cut the engine
// ends.
func lateRecord(r *record, trouble bool) (verdict, error) {
	const (
		streams  = 300
		events   = 100
		cutTime  = 5 * time.Second
		downTime = 100 * time.Millisecond
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
	cutEnd := time.Now().Add(cutTime)
	if trouble {
		for _, s := range servers[:1] {
			r.printf("server %s is cut off from control for %s", s.id, cutTime)
			s.cutOff(cutEnd)
			s.kill()
		}
		time.Sleep(downTime)
		for _, s := range servers[:1] {
			if err := s.start("v2"); err != nil {
				return verdict{}, err
			}
		}
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
	time.Sleep(time.Until(cutEnd.Add(contactTime)))
	if trouble {
		servers[0].kill()
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
