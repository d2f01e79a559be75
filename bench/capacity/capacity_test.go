package capacity

import (
	"math"
	"strings"
	"testing"
)

func TestFitFindsLine(t *testing.T) {
	s := Fit("q", "x", "B", Point{1, 12}, Point{10, 30}, Point{100, 210})
	if math.Abs(s.A-10) > 1e-6 || math.Abs(s.B-2) > 1e-6 || s.Worst > 1e-6 {
		t.Errorf("fitted %v + %v·x, off by %v", s.A, s.B, s.Worst)
	}
	bent := Fit("q", "x", "B", Point{1, 1}, Point{10, 100}, Point{100, 10000})
	if bent.Worst < 0.1 {
		t.Errorf("a square passes for a line, off by %v", bent.Worst)
	}
}

func TestReplaceBlockKeepsTheRest(t *testing.T) {
	begin := strings.ReplaceAll(beginMark, "NAME", "a")
	end := strings.ReplaceAll(endMark, "NAME", "a")
	page, err := replaceBlock("before\n"+begin+"old\n"+end+"after\n", "a", "new")
	if err != nil {
		t.Fatal(err)
	}
	if page != "before\n"+begin+"\nnew\n"+end+"after\n" {
		t.Errorf("got %q", page)
	}
	if _, err := replaceBlock("no marks", "a", "new"); err == nil {
		t.Error("a page without the block was written")
	}
}
