// Package testport finds ports for the listeners of tests.
package testport

import (
	"net"
	"slices"
)

// Free returns n different ports in order that were free at all addresses just
// now.
func Free(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // held until all are found, so that none comes twice
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(out)
	return out, nil
}
