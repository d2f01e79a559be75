package code

import (
	"errors"
	"fmt"
	"testing"
)

func TestTableIsOrderedAndComplete(t *testing.T) {
	last := Code(-1)
	for _, i := range All() {
		if i.Code <= last {
			t.Errorf("code %d is listed after %d", i.Code, last)
		}
		last = i.Code
		if i.Name == "" || i.Meaning == "" || i.Action == "" || i.Status == 0 {
			t.Errorf("code %d has an empty field: %+v", i.Code, i)
		}
	}
}

func TestOfFindsWrappedCode(t *testing.T) {
	cause := errors.New("refused")
	err := fmt.Errorf("attempt 2: %w", Wrap(TargetUnreachable, cause, "e1"))
	if got := Of(err); got != TargetUnreachable {
		t.Errorf("Of = %d, want %d", got, TargetUnreachable)
	}
	if !errors.Is(err, cause) {
		t.Error("errors.Is doesn't find the wrapped error")
	}
	if got := Of(cause); got != Internal {
		t.Errorf("Of an error without code = %d, want Internal", got)
	}
}
