//go:build review

// Command review-standin runs one case of the review against the programs in target/.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the time after which a case is given up.
const limit = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns the rule that it checks.
var cases = map[string]func(s *system, trouble bool) (string, error){
	"late-departure": lateDeparture,
	"many-ends":      manyEnds,
	"other-kind":     otherKind,
	"replacement":    replacement,
	"silent-worker":  silentWorker,
	"count-pending":  countPending,
	"unreadable-id":  unreadableID,
}

var workersOf = map[string]int{"late-departure": 3, "many-ends": 2, "other-kind": 2, "replacement": 2, "silent-worker": 7, "count-pending": 7, "unreadable-id": 2}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l, err := newLedger(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l.note("case %s, disruption: %v", name, trouble)
	s, err := newSystem(l, workersOf[name])
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-time.After(limit):
		case <-signals:
		}
		l.note("the case could not run: no time left")
		s.stop()
		os.Exit(exitNotRun)
	}()
	if err != nil {
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rule, err := cases[name](s, trouble)
	if err != nil {
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l.checkStartsAfterEnds()
	n := l.total(rule)
	l.note("breaches of %s: %d", rule, n)
	fmt.Printf("%s: breaches of %s: %d\n", name, rule, n)
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}
