package main

import (
	"errors"
	"syscall"
	"time"
)

var errNoAck = errors.New("an order of the preparation was not acknowledged")

func init() {
	cases["replace-twice"] = replaceTwice
	cases["replace-then-wipe"] = replaceThenWipe
}

// replaceTwice replaces two of four core machines by plan, one after the other: first the one
// that leads. Each time an empty machine is added first, and the old one gets SIGTERM and is gone
// for good once the new one has run for longer than catchUpS. The second one is removed later
// than catchUpS after the first. The configuration that was acknowledged last has to be read back.
func replaceTwice(d *deployment, trouble bool) (int, error) {
	op := &operator{d}
	old := addCores(d)
	for _, h := range old {
		if err := d.start(h, true); err != nil {
			return notRun, err
		}
	}
	if !op.order(old, "PUT", "/jackdawtrack/config", configuration(1), 10*time.Second) {
		return notRun, errNoAck
	}
	first := d.leaderOf(d.seeds)
	if first == nil {
		return notRun, errors.New("no host says that it leads")
	}
	second := without(d.seeds, first)[0] // the first three vote, as they founded the group
	all := old
	for i, h := range []*host{first, second} {
		added := d.addHost("core-"+h.zone+"-2", h.zone, 16+i, true)
		if err := d.start(added, false); err != nil {
			return notRun, err
		}
		all = append(all, added)
	}
	time.Sleep(2 * catchUpTime)
	if !op.order(all, "PUT", "/jackdawtrack/config", configuration(2), ackTime) {
		return notRun, errNoAck
	}
	if trouble {
		d.end(first, syscall.SIGTERM)
		d.rec.add("%s is gone for good", first.name)
		all = without(all, first)
	}
	time.Sleep(catchUpTime + time.Second)
	if !op.order(all, "PUT", "/jackdawtrack/config", configuration(3), ackTime) {
		return notRun, errNoAck
	}
	if trouble {
		d.end(second, syscall.SIGTERM)
		d.rec.add("%s is gone for good", second.name)
		all = without(all, second)
	}
	return readBack(op, all, 3), nil
}

// addCores adds the core machines of the deployment, of which the first three are the seeds.
func addCores(d *deployment) (cores []*host) {
	for i, zone := range []string{"vasteras", "orebro", "uppsala", "eskilstuna"} {
		cores = append(cores, d.addHost("core-"+zone+"-1", zone, 11+i, true))
	}
	d.seeds = cores[:3]
	return cores
}

// replaceThenWipe replaces one of four core machines by plan, like replaceTwice. Later than
// catchUpS after that, another one loses its disk right after a configuration was acknowledged.
func replaceThenWipe(d *deployment, trouble bool) (int, error) {
	op := &operator{d}
	cores := addCores(d)
	added := d.addHost("core-uppsala-2", "uppsala", 15, true)
	for _, h := range cores {
		if err := d.start(h, true); err != nil {
			return notRun, err
		}
	}
	if !op.order(cores, "PUT", "/jackdawtrack/config", configuration(1), 10*time.Second) {
		return notRun, errNoAck
	}
	if err := d.start(added, false); err != nil {
		return notRun, err
	}
	time.Sleep(2 * catchUpTime)
	all := append(append([]*host{}, cores...), added)
	if !op.order(all, "PUT", "/jackdawtrack/config", configuration(2), ackTime) {
		return notRun, errNoAck
	}
	if trouble {
		d.end(cores[2], syscall.SIGTERM)
		d.rec.add("%s is gone for good", cores[2].name)
		all = without(all, cores[2])
	}
	time.Sleep(catchUpTime + 300*time.Millisecond)
	if !op.order(all, "PUT", "/jackdawtrack/config", configuration(3), ackTime) {
		return notRun, errNoAck
	}
	if trouble {
		wiped := cores[1]
		d.end(wiped, syscall.SIGKILL)
		if err := d.wipe(wiped); err != nil {
			return notRun, err
		}
		time.Sleep(time.Second)
		if err := d.start(wiped, false); err != nil {
			return notRun, err
		}
	}
	return readBack(op, all, 3), nil
}

func without(hosts []*host, h *host) (out []*host) {
	for _, o := range hosts {
		if o != h {
			out = append(out, o)
		}
	}
	return out
}

// readBack reads the configuration at all hosts in turn until the version comes. The operator
// gives up after three times recoveryS, which is longer than the pages allow for it.
func readBack(op *operator, hosts []*host, version uint64) int {
	d := op.d
	d.rec.add("all machines are back, the operator reads the configuration for %s", 3*recoveryTime)
	for end := time.Now().Add(3 * recoveryTime); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, h := range hosts {
			switch read := op.readVersion(h); {
			case read == version:
				d.rec.add("version %d was read back", version)
				return held
			case read > 0:
				d.rec.add("version %d was read back, %d was acknowledged", read, version)
				return broken
			}
		}
	}
	accepted := op.order(hosts, "PUT", "/jackdawtrack/config", configuration(version+1), ackTime)
	d.rec.add("the acknowledged configuration did not come back; a new one was acknowledged: %t", accepted)
	return broken
}
