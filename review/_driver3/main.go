// Command driver3 plays the cases of the third review that cannot be put as a day: it starts
// the programs of the deploy file with stand-ins for clients, servers and the platform, and
// judges what these see. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(f *record, trouble bool) (verdict, error){
	"in-place":          inPlace,
	"late-record":       lateRecord,
	"stale-order":       staleOrder,
	"unnoticed-restart": unnoticedRestart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	r.printf("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}
