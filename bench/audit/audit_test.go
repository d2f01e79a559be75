package audit

import (
	"strings"
	"testing"
)

// A checker that can't fail proves nothing: each fault that the runs look for
// must turn the verdict.
func TestOnceFindsEachFault(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls string
		keys  map[string]int
		want  Verdict
	}{
		{"all well", "1 answered\n2 code 4\n3 code 3\n", map[string]int{"c-1": 1, "c-2": 1}, Verdict{Sent: 3, Answered: 1, NotRun: 1, Unknown: 1}},
		{"answered but never ran", "1 answered\n", nil, Verdict{Sent: 1, Answered: 1, Lost: 1}},
		{"ran twice", "1 answered\n", map[string]int{"c-1": 2}, Verdict{Sent: 1, Answered: 1, Doubled: 1}},
		{"unknown and ran twice", "1 code 4\n", map[string]int{"c-1": 2}, Verdict{Sent: 1, Unknown: 1, Doubled: 1}},
		{"said not run, but ran", "1 code 3\n", map[string]int{"c-1": 1}, Verdict{Sent: 1, NotRun: 1, Crossed: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls, err := ReadCalls(strings.NewReader(c.calls))
			if err != nil {
				t.Fatal(err)
			}
			if got := Once(calls, Plain{Keys: c.keys}, "c-"); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
	if _, err := ReadCalls(strings.NewReader("1 code 1\n")); err == nil {
		t.Error("a call that failed in another way passes as an outcome")
	}
}
