package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// notes is the folder in which the stand-in disk of the machine notes what was synced.
func (m *machine) notes() string { return filepath.Join(m.run.folder, m.name+".disk") }

func (m *machine) logFolder() string { return filepath.Join(m.run.folder, m.name, "log") }

// unsynced returns how many bytes of the files of the machine were written and not synced.
func (m *machine) unsynced() (total int64) {
	entries, _ := os.ReadDir(m.logFolder())
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !strings.HasSuffix(e.Name(), ".log") {
			continue
		}
		total += info.Size() - m.synced(e.Name())
	}
	return total
}

func (m *machine) synced(name string) int64 {
	data, err := os.ReadFile(filepath.Join(m.notes(), name))
	if err != nil {
		return 0
	}
	n, _ := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	return n
}

// kill ends the process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// losePower ends the process and leaves in each file what its last sync covered.
func (m *machine) losePower() {
	m.kill()
	entries, _ := os.ReadDir(m.logFolder())
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !strings.HasSuffix(e.Name(), ".log") && !strings.HasSuffix(e.Name(), ".snap") {
			continue
		}
		if n := m.synced(e.Name()); n < info.Size() {
			m.run.logf("%s loses the last %d bytes of %s, which no sync covered", m.name, info.Size()-n, e.Name())
			check(os.Truncate(filepath.Join(m.logFolder(), e.Name()), n))
		}
	}
}

func (m *machine) stall(on bool) {
	path := filepath.Join(m.notes(), "stall")
	if on {
		check(os.WriteFile(path, nil, 0o600))
	} else {
		_ = os.Remove(path)
	}
	m.run.logf("disk of %s answers: %v", m.name, !on)
}

// readVersion reads the configuration from a core host, 0 if there is none to be had.
func (r *run) readVersion(m *machine) int {
	status, data, err := call("GET", "http://"+m.control()+"/jackdawtrack/config", nil, time.Second)
	if err != nil || status != 200 {
		r.logf("operator: read from %s: status %d, error %v", m.name, status, err)
		return 0
	}
	var c struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal(data, &c)
	r.logf("operator: read from %s: status 200, version %d", m.name, c.Version)
	return c.Version
}

// playPower kills a core host while its disk does not answer, lets it come back, and takes
// the power of all core hosts once a configuration was acknowledged.
func playPower(r *run) {
	r.coreProgram = filepath.Join(filepath.Dir(r.bin), "review", "bin", "core")
	r.place([]string{"toowoomba", "warwick", "dalby"}, []int{0, 0, 0})
	for _, m := range r.cores {
		check(os.MkdirAll(m.notes(), 0o755))
	}
	r.startAll()
	if r.order("PUT", "/jackdawtrack/config", plainConfig(1, "/status/", "/place/"), r.cores).IsZero() {
		r.end(2)
	}
	time.Sleep(contactTime)
	acknowledged := 0
	for round := range 4 {
		version := 4 + 3*round
		if !r.changeBeforePowerLoss(version) {
			r.logf("version %d was not acknowledged before the power was lost", version)
			time.Sleep(2 * contactTime)
			continue
		}
		acknowledged++
		// Reads are judged later than configApplyMs after the acknowledgement.
		time.Sleep(configApplyTime + time.Second)
		for _, m := range r.cores {
			v := r.readVersion(m)
			for deadline := time.Now().Add(recoveryTime); v == 0 && time.Now().Before(deadline); v = r.readVersion(m) {
				time.Sleep(500 * time.Millisecond)
			}
			switch {
			case v == 0:
				r.logf("%s answers no read", m.name)
				r.end(2)
			case v < version:
				r.logf("%s answers with version %d, though version %d was acknowledged", m.name, v, version)
				r.end(1)
			}
		}
		time.Sleep(contactTime) // an election after the kill has synced the log
	}
	if acknowledged == 0 {
		r.end(2)
	}
	r.end(0)
}

// changeBeforePowerLoss sends a version to the leader while the third core host has no power
// and the process of the second one is killed in the middle of a sync, and takes the power
// of all. It reports whether the version was acknowledged.
func (r *run) changeBeforePowerLoss(version int) bool {
	leader := r.leader()
	others := []*machine{}
	for _, m := range r.cores {
		if m != leader {
			others = append(others, m)
		}
	}
	follower, absent := others[0], others[1]
	r.logf("%s leads", leader.name)
	acked := make(chan time.Time, 1)
	send := func() {
		acked <- r.order("PUT", "/jackdawtrack/config", plainConfig(version, "/status/", "/place/"), []*machine{leader})
	}
	if !r.trouble {
		send()
		return !(<-acked).IsZero()
	}
	absent.losePower()
	follower.stall(true)
	go send()
	for deadline := time.Now().Add(time.Second); follower.unsynced() == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	r.logf("%s has written %d bytes that are not synced", follower.name, follower.unsynced())
	follower.kill()
	follower.stall(false)
	time.Sleep(200 * time.Millisecond)
	follower.start(false)
	var at time.Time
	select {
	case at = <-acked:
	case <-time.After(ackTime):
	}
	r.logf("all core hosts lose power; %s has %d bytes that are not synced", follower.name, follower.unsynced())
	leader.losePower()
	follower.losePower()
	time.Sleep(time.Second)
	follower.start(false)
	absent.start(false)
	time.Sleep(900 * time.Millisecond)
	leader.start(false)
	return !at.IsZero()
}
