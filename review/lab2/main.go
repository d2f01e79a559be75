// Command lab2 plays the scripted cases of the second independent review, each with the
// project's daemons as separate processes on loopback addresses. See review/REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"foreign-entry":    foreignEntry,
	"innocent":         innocent,
	"quarter":          quarter,
	"forgotten":        forgotten,
	"take-ups-roll":    takeUpsAfterRoll,
	"take-ups-kill":    takeUpsAfterKill,
	"take-ups-release": takeUpsInRelease,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(failed)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(run1(play, os.Args[2]))
}

func run1(play func(w *world, trouble bool) ([]string, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	type result struct {
		breaks []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		breaks, err := play(w, os.Getenv("TROUBLE") != "0")
		results <- result{breaks, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-results:
	case <-time.After(caseLimit):
		r.err = fmt.Errorf("the case took over %v", caseLimit)
	case s := <-signals:
		r.err = fmt.Errorf("ended by %v", s)
	}
	switch {
	case r.err != nil:
		w.log("couldn't run: %v", r.err)
		fmt.Println("couldn't run:", r.err)
		return failed
	case len(r.breaks) == 0:
		w.log("held")
		fmt.Println("held")
		return held
	}
	for _, b := range r.breaks {
		w.log("BROKEN: %s", b)
	}
	fmt.Printf("BROKEN, %d times, first: %s\n", len(r.breaks), r.breaks[0])
	return broken
}
