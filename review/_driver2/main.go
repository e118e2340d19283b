// Command driver2 runs the scripted cases of the second review: the programs of the deploy
// file as processes on loopback addresses, with stand-ins for operators, servers and clients.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Results of a case, which are the exit codes.
const (
	held      = 0
	broken    = 1
	notRun    = 2
	usageText = "usage: driver2 CASE RECORD, in the root of the repository"
)

// cases holds the cases by name. Each reports whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	programs, err := filepath.Abs("target")
	if err != nil {
		return notRun
	}
	d, err := newDeployment(rec, dir, programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer d.endAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		d.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(notRun)
	}()
	rec.add("case %s, trouble %t", name, trouble)
	code, err := cases[name](d, trouble)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	rec.add("result: %s", text)
	fmt.Println(name+":", text)
	return code
}

// sendBeat reports whether a heartbeat was acknowledged.
func sendBeat(client *http.Client, url string, body []byte) bool {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
