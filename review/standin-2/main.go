//go:build review

// Command standin-2 plays one case of the review of issue 30: it starts the processes of the system with stand-ins for
// workers, clients and the platform, and checks one rule. It exits with 1 if the rule was broken, with 0 if it held and
// with 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const maxTime = 115 * time.Second // a case may run for 120 s

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// playCase plays a case with its disruption, if trouble is set.
type playCase func(rec *record, trouble bool) (verdict, error)

var cases = map[string]playCase{
	"gang-end":      playGangEnd,
	"lost-run":      playLostRun,
	"pending":       playPending,
	"checkpoints":   playCheckpoints,
	"restart-evict": playRestartEvict,
	"restart-limit": playRestartLimit,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stops:
		case <-time.After(maxTime):
		}
		rec.line("could not run: stopped early or too late")
		killAll()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with its disruption: %t", name, trouble)
	v, err := c(rec, trouble)
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.line("broken: %t: %s", v.broken, v.text)
	fmt.Printf("broken: %t: %s\n", v.broken, v.text)
	if v.broken {
		return 1
	}
	return 0
}
