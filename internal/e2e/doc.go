// Package e2e contains the end-to-end tests. They run the real binaries on
// loopback, send them SIGKILL, SIGSTOP and SIGCONT, and compare the responses
// that callers received with the execution file of the stand-in servers.
package e2e
