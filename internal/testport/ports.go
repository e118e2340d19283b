// Package testport finds free TCP ports for tests.
package testport

import (
	"net"
	"slices"
)

// FreePorts returns n different TCP ports in ascending order that were free on
// all local addresses during the call.
func FreePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() // after all ports are found, so that none is returned twice
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	return ports, nil
}
