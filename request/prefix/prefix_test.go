package prefix

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

func TestBlocks(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 48) // three blocks
	all := Blocks(long)
	if len(all) != 3 || all[0] == all[1] {
		t.Fatalf("blocks %x", all)
	}
	cases := []struct {
		name   string
		text   string
		shared int // number of leading hashes equal to those of long
		blocks int
	}{
		{"empty", "", 0, 0},
		{"under a block", long[:blockBytes-1], 0, 0},
		{"a part at the end has no hash", long[:blockBytes+7], 1, 1},
		{"longer", long + "x", 3, 3},
		{"another end", long[:2*blockBytes] + strings.Repeat("z", blockBytes), 2, 3},
		{"another start changes all", "z" + long[1:], 0, 3},
	}
	for _, c := range cases {
		got := Blocks(c.text)
		shared := 0
		for shared < min(len(got), len(all)) && got[shared] == all[shared] {
			shared++
		}
		if shared != c.shared || len(got) != c.blocks || slices.Contains(got[shared:], all[0]) {
			t.Errorf("%s: %d shared of %d", c.name, shared, len(got))
		}
	}
}

func TestEstimateTokens(t *testing.T) {
	for text, want := range map[string]int{"": 0, "a": 1, "abcd": 1, "abcde": 2} {
		if got := EstimateTokens(text); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
}

func TestPrompt(t *testing.T) {
	cases := []struct{ body, want string }{
		{`[]`, ""},
		{`[{"role":"system","content":"be short"},{"role":"user","content":"hi"}]`, "system: be short\nuser: hi"},
		{`[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]`, "user: ab"},
		{`[{"role":"assistant","content":null}]`, "assistant: "},
	}
	for _, c := range cases {
		var messages []Message
		if err := json.Unmarshal([]byte(c.body), &messages); err != nil {
			t.Fatal(err)
		}
		if got := Prompt(messages); got != c.want {
			t.Errorf("%s: %q, want %q", c.body, got, c.want)
		}
	}
	var m Message
	if err := json.Unmarshal([]byte(`{"role":"user","content":5}`), &m); err == nil {
		t.Error("took a number as content")
	}
}
