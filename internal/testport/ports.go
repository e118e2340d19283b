// Package testport finds free TCP ports and loopback addresses for tests.
package testport

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
)

var (
	mu       sync.Mutex
	returned = map[int]bool{} // ports that FreePorts has returned
)

// IP returns a loopback address that no test process that runs at the same time
// gets for any host. Outgoing connections have the source 127.0.0.1, so they take
// no port of it either. host is from 1 to 254.
func IP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, host)
}

// FreePorts returns n different TCP ports in ascending order that were free on
// IP(1) during the call. It returns no port twice in a process, because the host
// that got a port may not listen on it yet.
func FreePorts(n int) ([]int, error) {
	mu.Lock()
	defer mu.Unlock()
	var ports []int
	for len(ports) < n {
		listener, err := net.Listen("tcp", IP(1)+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() // after all ports are found, so that none is returned twice
		port := listener.Addr().(*net.TCPAddr).Port
		if returned[port] {
			continue
		}
		returned[port] = true
		ports = append(ports, port)
	}
	slices.Sort(ports)
	return ports, nil
}
