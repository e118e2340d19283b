package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
)

const (
	orderHost = "orders.example"
	orderKey  = "key-of-tenant-one"
)

// plainConfig is a configuration with one safe and one unsafe route of a plain service, as
// those of the sheets. The paths of the routes begin with the prefixes.
func plainConfig(version int, safePrefix, unsafePrefix string) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": orderHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
			"service": "orderdesk", "maxAttempts": attempts, "public": false, "sticky": false, "streamResume": false,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-status", safePrefix, "safe", 2), route("r-place", unsafePrefix, "unsafe", 1)},
		"services": []any{map[string]any{"name": "orderdesk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
		"tenants":  []any{map[string]any{"name": "tenant-one", "apiKeys": []string{orderKey}, "priority": 1}},
	})
	check(err)
	return data
}

var leaderLine = regexp.MustCompile(`became leader in term (\d+)`)

// leader returns the core host that became leader last, by the logs.
func (r *run) leader() *machine {
	var leader *machine
	most := 0
	for _, m := range r.cores {
		data, _ := os.ReadFile(filepath.Join(r.folder, m.name+".log"))
		for _, found := range leaderLine.FindAllSubmatch(data, -1) {
			if term, _ := strconv.Atoi(string(found[1])); term > most {
				most, leader = term, m
			}
		}
	}
	if leader == nil {
		r.logf("no core host leads")
		r.end(2)
	}
	return leader
}
