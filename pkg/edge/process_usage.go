package edge

import (
	"runtime/metrics"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// Names of the runtime metrics that this package reads.
const (
	gcCPUMetric            = "/cpu/classes/gc/total:cpu-seconds"
	memoryMetric           = "/memory/classes/total:bytes"
	heapMetric             = "/memory/classes/heap/objects:bytes"
	goroutinesMetric       = "/sched/goroutines:goroutines"
	schedulerLatencyMetric = "/sched/latencies:seconds"
)

// processUsage measures the resources that this process uses between two calls of
// read.
type processUsage struct {
	cpuTime, gcTime time.Duration // totals at the last call of read
}

// read returns log fields: the CPU time of the process and of its garbage
// collector in ms since the last call, and the present memory in MiB and number
// of goroutines.
func (p *processUsage) read() logrus.Fields {
	samples := []metrics.Sample{{Name: gcCPUMetric}, {Name: memoryMetric}, {Name: heapMetric}, {Name: goroutinesMetric}}
	metrics.Read(samples)
	gcTime := time.Duration(samples[0].Value.Float64() * float64(time.Second))
	cpuTime := processCPUTime()
	fields := logrus.Fields{
		"processor_ms": (cpuTime - p.cpuTime).Milliseconds(), "collector_ms": (gcTime - p.gcTime).Milliseconds(),
		"memory_mb": samples[1].Value.Uint64() >> 20, "heap_mb": samples[2].Value.Uint64() >> 20, "goroutines": samples[3].Value.Uint64(),
	}
	p.cpuTime, p.gcTime = cpuTime, gcTime
	return fields
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // getrusage fails only on invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// schedulerLatency measures how long runnable goroutines wait for a processor
// between two calls of readQuantile.
type schedulerLatency struct {
	counts []uint64 // histogram at the last call of readQuantile
}

// readQuantile returns the schedulerWaitQuantile of the waits since the last call,
// 0 at the first call.
func (w *schedulerLatency) readQuantile() time.Duration {
	samples := []metrics.Sample{{Name: schedulerLatencyMetric}}
	metrics.Read(samples)
	h := samples[0].Value.Float64Histogram()
	wait := w.quantileSince(h.Counts, h.Buckets)
	w.counts = append(w.counts[:0], h.Counts...)
	return wait
}

// quantileSince returns the schedulerWaitQuantile of the waits added since the last
// call of readQuantile. bounds holds the bucket bounds in seconds, one more than
// counts.
func (w *schedulerLatency) quantileSince(counts []uint64, bounds []float64) time.Duration {
	if len(w.counts) != len(counts) {
		return 0
	}
	var total, seen uint64
	for i, n := range counts {
		total += n - w.counts[i]
	}
	for i, n := range counts {
		seen += n - w.counts[i]
		if total > 0 && float64(seen) >= schedulerWaitQuantile*float64(total) {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
	}
	return 0
}
