package edge

import (
	"runtime/metrics"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// Names of the runtime metrics in a processLoad.
const (
	gcProcessorSeconds = "/cpu/classes/gc/total:cpu-seconds"
	memoryBytes        = "/memory/classes/total:bytes"
	heapBytes          = "/memory/classes/heap/objects:bytes"
	goroutineCount     = "/sched/goroutines:goroutines"
	schedulerLatencies = "/sched/latencies:seconds"
)

// processLoad tells what this process used since the last reading.
type processLoad struct {
	processor, collector time.Duration // totals at the last reading
}

// read returns the fields of a log line: processor time and the part of the
// garbage collector in ms since the last call, memory and goroutines now.
func (p *processLoad) read() logrus.Fields {
	samples := []metrics.Sample{{Name: gcProcessorSeconds}, {Name: memoryBytes}, {Name: heapBytes}, {Name: goroutineCount}}
	metrics.Read(samples)
	collector := time.Duration(samples[0].Value.Float64() * float64(time.Second))
	processor := processorTime()
	fields := logrus.Fields{
		"processor_ms": (processor - p.processor).Milliseconds(), "collector_ms": (collector - p.collector).Milliseconds(),
		"memory_mb": samples[1].Value.Uint64() >> 20, "heap_mb": samples[2].Value.Uint64() >> 20, "goroutines": samples[3].Value.Uint64(),
	}
	p.processor, p.collector = processor, collector
	return fields
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // the call fails on bad arguments only
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// schedulerWaits tells how long goroutines were ready before they ran.
type schedulerWaits struct {
	counts []uint64 // at the last reading
}

// read returns the quantile of the waits since the last reading, 0 at the first
// one.
func (w *schedulerWaits) read() time.Duration {
	samples := []metrics.Sample{{Name: schedulerLatencies}}
	metrics.Read(samples)
	h := samples[0].Value.Float64Histogram()
	wait := w.since(h.Counts, h.Buckets)
	w.counts = append(w.counts[:0], h.Counts...)
	return wait
}

// since takes the counts of a histogram and the bounds of its buckets in
// seconds, one more than counts.
func (w *schedulerWaits) since(counts []uint64, bounds []float64) time.Duration {
	if len(w.counts) != len(counts) {
		return 0
	}
	var total, seen uint64
	for i, n := range counts {
		total += n - w.counts[i]
	}
	for i, n := range counts {
		seen += n - w.counts[i]
		if total > 0 && float64(seen) >= waitQuantile*float64(total) {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
	}
	return 0
}
