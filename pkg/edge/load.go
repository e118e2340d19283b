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
