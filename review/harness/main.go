package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"idle":  idleCase,
	"stop":  stopCase,
	"reset": resetCase,
}

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// run plays the case that is named first and writes record.txt into the folder that is
// named second.
func run(args []string) (int, error) {
	if len(args) != 2 || cases[args[0]] == nil {
		return exitNotRun, fmt.Errorf("usage: review-harness CASE FOLDER")
	}
	out, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(dir)
	record := &recorder{w: out, begin: time.Now()}
	f, err := newFleet(dir, record)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %v", args[0], trouble)
	code, err := cases[args[0]](f, trouble)
	record.add("exit %d, %v", code, err)
	return code, err
}
