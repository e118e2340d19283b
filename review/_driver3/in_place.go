package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// try is one attempt of a client at a stream.
type try struct {
	id         string
	status     int
	retryAfter time.Duration
	first      int // number of the first event, 0 if there was none
	last       int
	versions   []string
	whole      bool // the last event of the stream has arrived
}

// read sends a request for a stream, or for the rest of one after the event last, and reads
// the answer.
func (f *fleet) readStream(p *process, id, resumes string, last, events int, left time.Duration) (t try) {
	t.id = id
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: left}
	req, _ := http.NewRequest("POST", "http://"+f.controlAddress(p)+"/chat/2f", strings.NewReader("{}"))
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Jackdawtrack-Request-Id": id, "Jackdawtrack-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Authorization": "Bearer key-1", "Jackdawtrack-Model": "m",
		"Jackdawtrack-Token-Count": "826,290", "Jackdawtrack-Prompt-Prefix": fmt.Sprintf("5c1e07a2:198,%08x:628", time.Now().UnixNano()&0xffffffff),
	} {
		req.Header.Set(name, value)
	}
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	resp, err := client.Do(req)
	if err != nil {
		return t
	}
	defer resp.Body.Close()
	t.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		return t
	}
	number := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, _ = strconv.Atoi(value)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if t.first == 0 {
			t.first = number
		}
		t.last = number
		if n := len(t.versions); n == 0 || t.versions[n-1] != data {
			t.versions = append(t.versions, data)
		}
	}
	t.whole = t.last == events
	return t
}

// inPlace upgrades one of nine engines in place while streams run: it ends and starts again
// under its id with another software version, and announces itself at once.
func inPlace(r *record, trouble bool) (verdict, error) {
	const (
		streams  = 200
		later    = 12 // new streams after the disruption
		events   = 70
		patience = 12 * time.Second
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

	var mu sync.Mutex
	begun, takenUp, goneOn, wholeStreams := 0, 0, 0, 0
	var open sync.WaitGroup
	begin := func(n int) {
		open.Go(func() {
			start := time.Now()
			t := f.readStream(f.edges[n%len(f.edges)], fmt.Sprintf("chat-%03d", n), "", 0, events, patience)
			r.printf("client: %s got status %d, events %d to %d of %d, written by %v", t.id, t.status, t.first, t.last, events, t.versions)
			first, last, tries, wasTakenUp, wentOn := t.id, t.last, 0, false, false
			for !t.whole && t.last > 0 || t.status != http.StatusOK && wasTakenUp {
				left := patience - time.Since(start)
				if tries == 3 || left < time.Second {
					break
				}
				tries, wasTakenUp = tries+1, true
				time.Sleep(min(t.retryAfter, left/3))
				t = f.readStream(f.edges[(n+tries)%len(f.edges)], fmt.Sprintf("%s-%d", first, tries), first, last, events, patience-time.Since(start))
				r.printf("client: %s takes %s up after event %d: status %d, events %d to %d, written by %v", t.id, first, last, t.status, t.first, t.last, t.versions)
				if t.last > 0 {
					last, wentOn = t.last, true
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if last > 0 {
				begun++
			}
			if wasTakenUp {
				takenUp++
			}
			if wentOn {
				goneOn++
			}
			if last == events {
				wholeStreams++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	for n := range streams {
		begin(n)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		servers[0].kill()
		time.Sleep(400 * time.Millisecond)
		if err := servers[0].start("v2"); err != nil {
			return verdict{}, err
		}
	}
	for n := range later {
		begin(streams + n)
	}
	open.Wait()
	const all = streams + later
	text := fmt.Sprintf("LOST: of %d new streams %d began; of %d that were taken up %d went on, while eight engines of their version served; %d are whole", all, begun, takenUp, goneOn, wholeStreams)
	return verdict{takenUp >= 12 && 2*goneOn*all < takenUp*begun, text}, nil
}
