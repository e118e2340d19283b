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

// requestAnnouncement makes announceLoop announce the server immediately.
func (s *Server) requestAnnouncement() {
	select {
	case s.announcementRequests <- struct{}{}:
	default:
	}
}

// announceLoop announces the server every backend.AnnounceInterval and
// immediately after a change. Like a load balancer, it tries the addresses in
// round-robin order.
func (s *Server) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout}
	ticker := time.NewTicker(backend.AnnounceInterval)
	defer ticker.Stop()
	accepted := true
	for turn := 0; ; turn++ {
		err := s.sendAnnouncement(ctx, client, turn)
		if err != nil && accepted {
			s.log.Warnf("announcement failed: %v", err)
		}
		accepted = err == nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.announcementRequests:
		}
	}
}

// sendAnnouncement sends one announcement to the first address that accepts it,
// starting at index turn. It sends nothing while a fault has stopped
// announcements.
func (s *Server) sendAnnouncement(ctx context.Context, client *http.Client, turn int) error {
	a, stopped := s.buildAnnouncement(time.Now())
	if stopped {
		return nil
	}
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	var lastErr error
	for i := range s.cfg.Announce {
		address := s.cfg.Announce[(turn+i)%len(s.cfg.Announce)]
		if lastErr = s.postAnnouncement(ctx, client, string(address), body); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

func (s *Server) postAnnouncement(ctx context.Context, client *http.Client, address string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+s.cfg.Credential)
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s responded with %s", address, response.Status)
	}
	return nil
}

func (s *Server) buildAnnouncement(now time.Time) (a backend.Announcement, announcementsStopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine := s.cfg.Kind == backend.Engine
	return backend.Announcement{
		Name: s.cfg.Name, DataCentre: s.cfg.DataCentre, Address: s.Address(),
		Pool: s.pool, Kind: s.cfg.Kind, Models: slices.Clone(s.models), Loadable: s.cfg.Loadable,
		BootID: s.bootID, SoftwareVersion: backend.Version(s.version), Slots: s.cfg.Slots, ColdSlots: s.cfg.ColdSlots, State: s.state,
		Abilities: backend.Abilities{
			Resume: engine, Cancel: true, CheckFence: s.cfg.CheckFence, RepeatsID: true, CacheEvents: engine,
		},
		Load: s.laggedLoad(now),
	}, s.faults.announcementsStopped
}

// laggedLoad returns the newest load sample that is at least as old as the
// report lag, and zero values if there is none. Its caller holds the server
// lock.
func (s *Server) laggedLoad(now time.Time) backend.Load {
	var load backend.Load
	for _, sample := range s.loadSamples {
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
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		s.recordLoadSample(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) recordLoadSample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := backend.Load{
		Running: s.usedSlots, Waiting: len(s.slotWaiters), CachedPrefixes: len(s.cache.entries), TotalRequests: s.totalRequests,
	}
	s.loadSamples = append(s.loadSamples, loadSample{taken: now, load: load})
	if len(s.loadSamples) > maxLoadSamples {
		s.loadSamples = s.loadSamples[1:]
	}
}
