package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	darkTime = 1500 * time.Millisecond
	// otherEngines is the number of engines of the other version. One of seven engines goes
	// dark, less than the share of .15 that the bench takes.
	otherEngines = 6
	// maxTries is how often a client sends a request for a stream: the sheet has one retry.
	maxTries = 2
)

func init() { cases["restart-as-other-version"] = restartAsOtherVersion }

// restartAsOtherVersion lets the only engine of a software version go dark for a short time and
// come back under its id with the version of the other engines.
func restartAsOtherVersion(d *deployment, trouble bool) (int, error) {
	op := &operator{d}
	var cores, edges []*host
	zones := []string{"vasteras", "orebro", "uppsala"}
	for i, zone := range zones {
		cores = append(cores, d.addHost("core-"+zone+"-1", zone, 11+i, true))
	}
	d.seeds = cores
	for i, zone := range zones[:2] {
		edges = append(edges, d.addHost("front-"+zone+"-1", zone, 21+i, false))
	}
	for _, h := range d.hosts {
		if err := d.start(h, true); err != nil {
			return notRun, err
		}
	}
	if !op.order(cores, "PUT", "/jackdawtrack/config", streamConfiguration(1), 10*time.Second) {
		return notRun, errNoAck
	}
	ran := &engineRuns{}
	start := func(number int, zone, version string) (*engine, error) {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.network, number))
		if err != nil {
			return nil, err
		}
		return newEngine(d, ran, number, zone, version, l), nil
	}
	for i := range otherEngines {
		other, err := start(32+i, zones[i%len(zones)], "v2")
		if err != nil {
			return notRun, err
		}
		defer other.close()
		go other.announce(0)
	}
	m, err := newMachine(fmt.Sprintf("%s.%d:0", d.network, 51))
	if err != nil {
		return notRun, err
	}
	defer m.listener.Close()
	before, err := start(31, "vasteras", "v1")
	if err != nil {
		return notRun, err
	}
	m.comeBack(before.address)
	before.address = m.listener.Addr().String()
	go before.announce(0)
	time.Sleep(2 * contactTime)
	var clients sync.WaitGroup
	var mu sync.Mutex
	mixed := 0
	for n := 1; n <= 200; n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			body := readWithTakeUps(d, edges, n)
			if strings.Contains(body, " v1\n") && strings.Contains(body, " v2\n") {
				mu.Lock()
				defer mu.Unlock()
				mixed++
				d.rec.add("the answers to s%d hold events of two versions: %d of v1, %d of v2", n, strings.Count(body, " v1\n"), strings.Count(body, " v2\n"))
			}
		}()
		if trouble && n == 100 {
			d.rec.add("engine %s goes dark", before.id)
			m.goDark()
			before.close()
			time.AfterFunc(darkTime, func() {
				after, err := start(31, "vasteras", "v2")
				if err != nil {
					return
				}
				m.comeBack(after.address)
				after.address = m.listener.Addr().String()
				go after.announce(heartbeatTime)
			})
		}
		time.Sleep(60 * time.Millisecond)
	}
	clients.Wait()
	d.rec.add("answers that hold events of two versions: %d", mixed)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}

// readWithTakeUps reads a stream as a client does: if its answer breaks off, the client takes it
// up at the next edge host, and comes back as a refusal says. It returns all events.
func readWithTakeUps(d *deployment, edges []*host, n int) (body string) {
	id, start := fmt.Sprintf("s%d", n), time.Now()
	for try := range maxTries {
		name := id
		if try > 0 {
			name = fmt.Sprintf("%s-%d", id, try)
		}
		a := readStream(d, edges[(n+try)%len(edges)], id, name, strings.Count(body, "\n\n"), streamDeadline-time.Since(start))
		body += a.body
		if a.whole {
			return body
		}
		time.Sleep(a.retryAfter)
	}
	return body
}
