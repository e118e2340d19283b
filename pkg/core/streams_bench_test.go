package core

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord/recorder"
)

// The size of a site: new streams are those of all edge hosts in a second.
const (
	benchEdges      = 24
	benchCores      = 5
	benchNewStreams = 2000
	benchTime       = 10 * time.Second
	// coreAddressesEnv and releasesEnv pass the addresses of the core hosts and the name
	// of the benchmark to the process of the edge hosts.
	coreAddressesEnv = "JACKDAWTRACK_BENCH_CORES"
	releasesEnv      = "JACKDAWTRACK_BENCH_RELEASES"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // does not fail for RUSAGE_SELF
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingListener counts the bytes of its connections, without headers of TCP and IP.
type countingListener struct {
	net.Listener
	received, sent *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	counts countingListener
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.sent.Add(int64(n))
	return n, err
}

// recordResult is what the process of the edge hosts measured.
type recordResult struct {
	Streams          int
	Median, P99, Max time.Duration // from Record to the storage at the first core host
	Late             int           // streams that waited longer than 25 ms
	LateStart        int           // streams that this process began over 25 ms late, for comparison
	Processor        time.Duration
}

// BenchmarkStreamRecords has 24 recorders, which share a process, record 2,000 streams a
// second at 5 core hosts, which share the process of the benchmark and have no replica.
// The edge hosts wait for each record (several) or for none (one release).
func BenchmarkStreamRecords(b *testing.B) {
	if addresses := os.Getenv(coreAddressesEnv); addresses != "" {
		runRecorders(b, addresses)
		return
	}
	for _, releases := range []string{"several", "one"} {
		b.Run(releases, func(b *testing.B) {
			for b.Loop() {
				measureRecords(b, releases)
			}
		})
	}
}

func measureRecords(b *testing.B, releases string) {
	var received, sent atomic.Int64
	var addresses []string
	for range benchCores {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		h := newTestHost()
		h.streams = newStreamRecords(h.log, metrics.NewRegistry(), maxStreamRecords)
		server := grpc.NewServer(slices.Concat(replica.ServerOptions(), h.panicRecoveryOptions())...)
		apiv1.RegisterFleetServer(server, h)
		go func() { _ = server.Serve(countingListener{l, &received, &sent}) }()
		defer server.Stop()
		addresses = append(addresses, l.Addr().String())
	}
	data, err := json.Marshal(addresses)
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), 2*testDeadline)
	defer cancel()
	edges := exec.CommandContext(ctx, os.Args[0], "-test.run=^$", "-test.bench=^BenchmarkStreamRecords$", "-test.benchtime=1x")
	edges.Env = append(os.Environ(), coreAddressesEnv+"="+string(data), releasesEnv+"="+releases)
	edges.Stderr = os.Stderr
	out, err := edges.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, edges.Start())
	defer func() { _ = edges.Wait() }()

	// The other process prints a line when it begins and its result when it ends.
	var result recordResult
	var begun time.Duration
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if lines.Text() == "begin" {
			begun = processorTime()
			received.Store(0)
			sent.Store(0)
		} else if json.Unmarshal(lines.Bytes(), &result) == nil {
			break
		}
	}
	used := processorTime() - begun
	assert.Assert(b, result.Streams > 0, "the edge hosts measured nothing")
	n := float64(result.Streams)
	if releases == "several" { // with one, nobody waits
		b.ReportMetric(float64(result.Median.Microseconds()), "median-us")
		b.ReportMetric(float64(result.P99.Microseconds()), "p99-us")
		b.ReportMetric(float64(result.Max.Microseconds()), "max-us")
		b.ReportMetric(float64(result.Late), "late")
	}
	b.ReportMetric(float64(result.LateStart), "late-starts")
	b.ReportMetric(n, "streams")
	b.ReportMetric(float64(result.Processor.Microseconds())/n, "edge-us/stream")
	b.ReportMetric(float64(used.Microseconds())/n/benchCores, "core-us/stream")
	b.ReportMetric(float64(received.Load())/n/benchCores, "to-core-B/stream")
	b.ReportMetric(float64(sent.Load())/n/benchCores, "from-core-B/stream")
	for lines.Scan() { // the other process must be able to end
	}
}

// runRecorders runs the edge hosts and prints the result.
func runRecorders(b *testing.B, coreAddresses string) {
	var addresses []string
	assert.NilError(b, json.Unmarshal([]byte(coreAddresses), &addresses))
	isUrgent := os.Getenv(releasesEnv) == "several"
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var recorders []*recorder.Recorder
	for range benchEdges {
		r := recorder.New(logging.ForComponent("test"), metrics.NewRegistry())
		recorders = append(recorders, r)
		for _, address := range addresses {
			conn, err := feed.Connect(address, nil)
			assert.NilError(b, err)
			defer conn.Close()
			go r.UseConnection(ctx, address, conn)
		}
	}
	time.Sleep(2 * time.Second) // the connections open
	fmt.Println("begin")
	begun, processor := time.Now(), processorTime()
	var mu sync.Mutex
	var delays []time.Duration
	lateStart := 0
	var calls sync.WaitGroup
	streams := int(benchNewStreams * benchTime.Seconds())
	for n := range streams {
		due := begun.Add(time.Duration(n) * time.Second / benchNewStreams)
		time.Sleep(time.Until(due))
		if time.Since(due) > 25*time.Millisecond {
			lateStart++
		}
		calls.Go(func() {
			now := time.Now()
			stored := recorders[n%benchEdges].Record(streamrecord.Record{
				Key: streamrecord.KeyOf("workspace", "route", fmt.Sprint(n)), Release: release.Of("service", "v1"),
				Expires: now.Add(streamrecord.MaxTTL), Process: streamrecord.ProcessOf("server", 1_700_000_000_000),
			}, isUrgent)
			<-stored
			mu.Lock()
			defer mu.Unlock()
			delays = append(delays, time.Since(now))
		})
	}
	calls.Wait()
	slices.Sort(delays)
	late, _ := slices.BinarySearch(delays, 25*time.Millisecond)
	out, err := json.Marshal(recordResult{
		Streams: streams, Median: delays[streams/2], P99: delays[streams*99/100], Max: delays[streams-1],
		Late: streams - late, LateStart: lateStart, Processor: processorTime() - processor,
	})
	assert.NilError(b, err)
	fmt.Println(string(out))
}
