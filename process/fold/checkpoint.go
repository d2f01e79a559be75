package fold

import "github.com/pomelospool/pomelospool/process/record"

// coversOnly decodes a checkpoint without copying its state.
type coversOnly struct {
	Covers int64 `json:"covers"`
}

// checkpoint notes the place of the checkpoint that covers most.
//
// The guard is against a process that was paused while it wrote a checkpoint:
// its old state arrives late. Folding never loads a state, so nothing goes
// back, and the mark only moves up.
func (s *State) checkpoint(offset, covers int64) {
	if covers >= offset || covers < s.Checkpoint.Covers {
		return
	}
	s.Checkpoint = CheckpointPosition{At: offset, Covers: covers}
}

// Trusted reports whether a starting reader may begin with the checkpoint at
// offset at, when earliest is the lowest offset still kept.
//
// The guard is against a late checkpoint of a stale process: a reader that
// starts from it with the records after Covers gone would miss what they
// decided, and go back. A checkpoint whose Covers+1 is still kept gives the
// same state as the whole log, whoever wrote it and whenever.
func Trusted(c record.Checkpoint, at, earliest int64) bool {
	return c.Covers >= 0 && c.Covers < at && c.Covers+1 >= earliest
}

// Load decodes the state of a checkpoint and checks that it covers what the
// checkpoint says.
func Load(c record.Checkpoint) (*State, error) {
	s, err := Decode(c.State)
	if err != nil {
		return nil, err
	}
	if s.Applied != c.Covers {
		return nil, ErrGap
	}
	return s, nil
}
