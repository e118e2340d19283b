package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// address returns a loopback address of a server in the zone with that number, from 1.
func (r *run) address(zone, host int) string {
	return fmt.Sprintf("%s.%d.%d:%d", r.base, zone, host, r.port+40)
}

// lookups sends lookups at each edge host in turn until the returned function is called,
// which returns how many were served.
func (r *run) lookups(wg *sync.WaitGroup, gap time.Duration) func() int64 {
	stop := make(chan struct{})
	var ok atomic.Int64
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			m := r.edges[i%len(r.edges)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				if a := r.send(m, "GET", orderHost, fmt.Sprintf("/status/%d", i), orderKey, nil, time.Second, nil); a.err == nil && a.status == 200 {
					ok.Add(1)
				}
			}()
		}
	}()
	return func() int64 {
		close(stop)
		wg.Wait()
		return ok.Load()
	}
}
