// Package e2e holds the end-to-end tests: the real binaries on loopback under
// SIGKILL, SIGSTOP and SIGCONT, checked from the execution file of the
// stand-ins and from the bytes that callers received.
package e2e
