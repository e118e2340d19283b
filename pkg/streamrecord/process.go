package streamrecord

import "github.com/cespare/xxhash/v2"

// Process identifies a process of a backend server: a hash of the server id in the upper
// 32 bits, the start time in the lower ones. Two servers whose hashes collide, at 2,000
// servers one fleet in 2,000, can only make streams of each other refused.
type Process uint64

// NoProcess stands for a process that is not known.
const NoProcess Process = 0

// startUnitMS is the unit of the start time. It tells two processes of a server apart,
// and orders those that started within two years of each other.
const startUnitMS = 32

// ProcessOf returns the process of a server that started at the time, in Unix
// milliseconds by its own clock, 0 if it does not state that. It is never NoProcess.
func ProcessOf(server string, startMS int64) Process {
	hash := max(xxhash.Sum64String(server)>>32, 1)
	return Process(hash<<32 | uint64(uint32(startMS/startUnitMS)))
}

// server returns the hash of the server id.
func (p Process) server() uint32 { return uint32(p >> 32) }

// statesStart reports whether the start time is known. Without it, all processes of a
// server look equal.
func (p Process) statesStart() bool { return uint32(p) != 0 }

// startedBefore reports whether p is known to have started before q, a process of the
// same server.
func (p Process) startedBefore(q Process) bool {
	return p.statesStart() && q.statesStart() && int32(uint32(q)-uint32(p)) > 0
}
