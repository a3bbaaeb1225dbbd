//go:build review

// Command review-standin-3 runs the scripts of the third review: it starts the programs of the system on loopback
// addresses, with stand-ins for its clients, workers, platform and operator, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broke  = 1
	failed = 2
)

// maxRunTime bounds a run.
const maxRunTime = 110 * time.Second

// cases are the scripts. Each returns whether it could run; trouble tells whether the disruption happens.
var cases = map[string]func(s *system, trouble bool) error{
	"advice":   adviceCase,
	"odd":      oddCase,
	"rack":     rackCase,
	"schedule": scheduleCase,
	"public":   publicCase,
	"quota":    quotaCase,
	"hotrack":  hotRackCase,
}

func main() { os.Exit(execute()) }

func execute() int {
	name := flag.String("case", "", "script to run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	record := flag.String("record", "record.txt", "file of what was sent, answered and run")
	bin := flag.String("bin", "target/laburnumd", "program of the system")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	script, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return failed
	}
	w, err := newWorld(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	farX := 1.5
	if *name == "hotrack" {
		farX = 3
	}
	s, err := newSystem(w, *bin, *name == "public" || *name == "quota", farX)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if s != nil {
			s.stop(false)
		}
		return failed
	}
	done := make(chan error, 1)
	go func() { done <- script(s, *trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(maxRunTime):
		err = fmt.Errorf("not finished after %v", maxRunTime)
	}
	broken := w.broken()
	s.stop(*keep)
	for _, text := range broken {
		fmt.Println("broken:", text)
	}
	switch {
	case len(broken) > 0:
		return broke
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return failed
	}
	fmt.Println("held")
	return held
}
