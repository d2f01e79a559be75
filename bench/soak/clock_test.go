package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// A process can't set the machine's time of day without privileges. So the
// daemons are built with a time.Now whose time of day is shifted by the number
// of milliseconds in a file. The monotonic clock isn't shifted.

// clockEnv names the environment variable with the path of that file.
const clockEnv = "SOAK_CLOCK"

// clockEdit makes time.Now add the shift.
var clockEdit = edit{
	"time/time.go", "	sec, nsec, mono := runtimeNow()\n	if mono == 0 {",
	"	sec, nsec, mono := runtimeNow()\n	sec, nsec = shiftWall(sec, nsec)\n	if mono == 0 {",
}

const clockShift = `package time

import "sync/atomic"

var wallShift atomic.Int64

// ShiftWall sets the shift of the time of day.
func ShiftWall(d Duration) { wallShift.Store(int64(d)) }

func shiftWall(sec int64, nsec int32) (int64, int32) {
	ns := int64(nsec) + wallShift.Load()
	sec += ns / int64(Second)
	ns %= int64(Second)
	if ns < 0 {
		sec, ns = sec-1, ns+int64(Second)
	}
	return sec, int32(ns)
}
`

const clockReader = `package main

import (
	"os"
	"strconv"
	"time"
)

func init() {
	read := func() {
		text, err := os.ReadFile(os.Getenv("` + clockEnv + `"))
		if err != nil {
			return
		}
		if ms, err := strconv.Atoi(string(text)); err == nil {
			time.ShiftWall(time.Duration(ms) * time.Millisecond)
		}
	}
	read()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			read()
		}
	}()
}
`

// stepClock sets the difference between the time of day of the daemon's VM and
// the right one.
func (p *process) stepClock(by time.Duration) {
	if err := replaceFile(p.clockPath, fmt.Sprint(by.Milliseconds())); err != nil {
		p.judge.ReportFault("daemon %d: can't step the clock: %v", p.index, err)
	}
}

// replaceFile replaces a file at once. Several events may step the same clock, or
// change the same links, at the same time: with one name for the new file, the second
// rename failed.
func replaceFile(path, content string) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.WriteString(content)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Guards against a trial that fails since two events step one clock at the same time.
func TestConcurrentClockSteps(t *testing.T) {
	path := filepath.Join(t.TempDir(), "clock-0")
	var steps sync.WaitGroup
	for i := range 50 {
		steps.Go(func() {
			if err := replaceFile(path, fmt.Sprint(i)); err != nil {
				t.Error(err)
			}
		})
	}
	steps.Wait()
}

// TestClockSteps runs the tests that step the clock themselves. Their build tag
// excludes them elsewhere, since only the overlay has the function.
func TestClockSteps(t *testing.T) {
	for _, pkg := range []string{"connection/demand", "connection/pool"} {
		cmd := exec.Command("go", "test", "-overlay", writeOverlay(t, nil), "-tags", "steppedclock", "-run", "ClockSteps$", "github.com/pomelospool/pomelospool/"+pkg)
		if text, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", pkg, err, text)
		}
	}
}

// edit replaces a text of a source file for one build.
type edit struct{ file, old, new string }

// writeOverlay writes a build overlay with the edits and with the clock that
// can be stepped. It returns the path of the overlay.
func writeOverlay(t *testing.T, edits []edit) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	o := overlay{t: t, dir: t.TempDir(), replaced: make(map[string]string)}
	goroot, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	std := filepath.Join(strings.TrimSpace(string(goroot)), "src")
	o.edit(std, clockEdit)
	o.write(filepath.Join(std, "time", "soak_clock.go"), clockShift)
	o.edit(std, lateEdit)
	o.write(filepath.Join(std, "net", "soak_late.go"), lateReads)
	o.write(filepath.Join(root, "cmd", "pomelospoold", "soak_clock.go"), clockReader)
	o.edit(root, linksEdit)
	o.write(filepath.Join(root, "process", "front", "soak_links.go"), linksReader)
	for _, e := range edits {
		o.edit(root, e)
	}
	data, err := json.Marshal(map[string]any{"Replace": o.replaced})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(o.dir, "overlay.json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// overlay is a build overlay in the making.
type overlay struct {
	t        *testing.T
	dir      string
	replaced map[string]string // path of the replacement by path of the file
}

// edit adds an edited copy of a file below root, or edits it again.
func (o *overlay) edit(root string, e edit) {
	path := filepath.Join(root, e.file)
	from := path
	if edited, ok := o.replaced[path]; ok {
		from = edited
	}
	text, err := os.ReadFile(from)
	if err != nil {
		o.t.Fatal(err)
	}
	if strings.Count(string(text), e.old) == 0 {
		o.t.Fatalf("%s has no %q", e.file, e.old)
	}
	o.write(path, strings.ReplaceAll(string(text), e.old, e.new))
}

// write sets the text of a file.
func (o *overlay) write(path, text string) {
	o.t.Helper()
	to := filepath.Join(o.dir, strings.ReplaceAll(strings.TrimPrefix(path, "/"), "/", "_"))
	if err := os.WriteFile(to, []byte(text), 0o644); err != nil {
		o.t.Fatal(err)
	}
	o.replaced[path] = to
}
