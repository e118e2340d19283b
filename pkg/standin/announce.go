package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

const announceTimeout = time.Second

func (s *Server) announceNow() {
	select {
	case s.announceAt <- struct{}{}:
	default:
	}
}

// announceLoop announces the server each backend.AnnounceInterval and at once
// on a change. It tries the addresses in turn, as a balancer does.
func (s *Server) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout}
	tick := time.NewTicker(backend.AnnounceInterval)
	defer tick.Stop()
	accepted := true
	for turn := 0; ; turn++ {
		err := s.announceOnce(ctx, client, turn)
		if err != nil && accepted {
			s.log.Warnf("announcement not accepted: %v", err)
		}
		accepted = err == nil
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.announceAt:
		}
	}
}

func (s *Server) announceOnce(ctx context.Context, client *http.Client, turn int) error {
	a, quiet := s.announcement(time.Now())
	if quiet {
		return nil
	}
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	var last error
	for i := range s.cfg.Announce {
		address := s.cfg.Announce[(turn+i)%len(s.cfg.Announce)]
		if last = s.post(ctx, client, string(address), body); last == nil {
			return nil
		}
	}
	return last
}

func (s *Server) post(ctx context.Context, client *http.Client, address string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+s.cfg.Credential)
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered %s", address, answer.Status)
	}
	return nil
}

func (s *Server) announcement(now time.Time) (a backend.Announcement, quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine := s.cfg.Kind == backend.Engine
	return backend.Announcement{
		Name: s.cfg.Name, DataCentre: s.cfg.DataCentre, Address: s.Address(),
		Pool: s.pool, Kind: s.cfg.Kind, Models: slices.Clone(s.models), Loadable: s.cfg.Loadable,
		BootID: s.boot, Slots: s.cfg.Slots, ColdSlots: s.cfg.ColdSlots, State: s.state,
		Abilities: backend.Abilities{
			Resume: engine, Cancel: true, CheckFence: s.cfg.CheckFence, RepeatsID: true, CacheEvents: engine,
		},
		Load: s.lateLoad(now),
	}, s.faults.quiet
}

// lateLoad returns the newest load sample that is at least as old as the
// report lag.
func (s *Server) lateLoad(now time.Time) backend.Load {
	var load backend.Load
	for _, sample := range s.samples {
		age := now.Sub(sample.taken)
		if age < s.cfg.ReportLag.AsDuration() {
			break
		}
		load = sample.load
		load.AgeMS = age.Milliseconds()
	}
	return load
}

func (s *Server) sampleLoop(ctx context.Context) {
	tick := time.NewTicker(loadSampleSpacing)
	defer tick.Stop()
	for {
		s.sample(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := backend.Load{
		Running: s.slotsUsed, Waiting: len(s.waiting), Cached: len(s.cache.entries), Total: s.total,
	}
	s.samples = append(s.samples, loadSample{taken: now, load: load})
	if len(s.samples) > keptLoadSamples {
		s.samples = s.samples[1:]
	}
}
