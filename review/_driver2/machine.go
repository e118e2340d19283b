package main

import (
	"io"
	"net"
	"sync"
)

// machine is a stand-in of the machine of a server: a proxy at the address of the server. It may
// go dark, as without power: nothing passes any more. When it is back, connections from before
// are reset, as a machine does that does not know them.
type machine struct {
	listener net.Listener

	mu     sync.Mutex
	dark   bool
	target string // of the process that runs on it
	conns  map[net.Conn]bool
}

func newMachine(address string) (*machine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &machine{listener: l, conns: map[net.Conn]bool{}}
	go m.accept()
	return m, nil
}

func (m *machine) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		target, dark := m.target, m.dark
		m.conns[c] = true
		m.mu.Unlock()
		if dark {
			continue // reset when the machine is back
		}
		s, err := net.Dial("tcp", target)
		if err != nil {
			m.reset(c)
			continue
		}
		go m.pass(s, c)
		go m.pass(c, s)
	}
}

// pass copies what one side sends to the other, until the machine goes dark.
func (m *machine) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		m.mu.Lock()
		dark := m.dark
		m.mu.Unlock()
		if dark {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			m.reset(to)
			return
		}
	}
}

func (m *machine) reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// goDark stops all traffic.
func (m *machine) goDark() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark = true
}

// comeBack lets connections through to a new process, and resets those from before.
func (m *machine) comeBack(target string) {
	m.mu.Lock()
	var old []net.Conn
	for c := range m.conns {
		old = append(old, c)
	}
	m.dark, m.target = false, target
	m.mu.Unlock()
	for _, c := range old {
		m.reset(c)
	}
}
