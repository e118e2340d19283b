package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// operator sends orders as the pages say: to any node that serves control, to another one after
// a failure, a 5xx, 408, 429 or a second without a response.
type operator struct {
	d *deployment
}

// callOnce sends one call on a connection of its own, which is closed after the call or after
// a second without a response.
func (o *operator) callOnce(h *host, method, path, body string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.d.address(h)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, answer = resp.StatusCode, string(data)
	}
	return status, answer, err
}

func (o *operator) call(h *host, method, path, body string) (status int, answer string) {
	status, answer, err := o.callOnce(h, method, path, body)
	if err != nil {
		o.d.rec.add("operator: %s %s at %s: no response (%v)", method, path, h.name, short(err.Error()))
		return 0, ""
	}
	text := ""
	if status != http.StatusOK {
		text = short(answer)
	}
	o.d.rec.add("operator: %s %s at %s: %d %s", method, path, h.name, status, text)
	return status, answer
}

func short(text string) string {
	text = strings.TrimSpace(text)
	if len(text) > 160 {
		text = text[:160]
	}
	return text
}

// order sends an order to the hosts in turn until one acknowledges it or the time is over.
func (o *operator) order(hosts []*host, method, path, body string, limit time.Duration) bool {
	pause := 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, h := range hosts {
			if status, _ := o.call(h, method, path, body); status/100 == 2 {
				return true
			}
			time.Sleep(pause)
			pause = min(2*pause, 400*time.Millisecond)
		}
	}
	return false
}

// readVersion reads the configuration at h and returns its version, 0 if none came.
func (o *operator) readVersion(h *host) uint64 {
	status, answer := o.call(h, "GET", "/jackdawtrack/config", "")
	var doc struct {
		Version uint64 `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &doc) != nil {
		return 0
	}
	return doc.Version
}

// configuration has a plain service with a safe and an unsafe route.
func configuration(version uint64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"order","host":"desk.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":true},`+
		`{"name":"status","host":"desk.example","pathPrefix":"/status/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":true}],`+
		`"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":290000},"tenants":[]}`, version)
}
