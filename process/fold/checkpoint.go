package fold

import "github.com/pomelospool/pomelospool/process/record"

// checkpointCovers decodes only the covered offset of a checkpoint, without
// copying its state.
type checkpointCovers struct {
	Covers int64 `json:"covers"`
}

// checkpoint records the position of the checkpoint with the highest covered
// offset.
//
// A process that was paused while writing may append a checkpoint with an old
// state. Folding never loads a state and the recorded position only moves
// forward, so the old checkpoint can't move anything back.
func (s *State) checkpoint(offset, covers int64) {
	if covers >= offset || covers < s.Checkpoint.Covers {
		return
	}
	s.Checkpoint = CheckpointPosition{At: offset, Covers: covers}
}

// Trusted reports whether a new reader may start from the checkpoint at offset
// at, where earliest is the lowest retained offset.
//
// A stale process may append a checkpoint late. If the records after Covers
// have expired, a reader that starts from it would miss their decisions and
// move back. While the record at Covers+1 is retained, the checkpoint gives the
// same state as the whole log, whichever process wrote it and when.
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
