// Package stream forwards a streamed answer from targets to a caller. It parses
// server-sent events strictly, checks the id and position of each chunk, and
// writes to the caller with bounded memory.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/pomelospool/pomelospool/internal/quota"
)

// MaxEvent is the maximum size in bytes of an event from a target.
const MaxEvent = 256 << 10

var newline = []byte("\n")

// Errors of a Reader, in addition to those of its source.
var (
	ErrTooLong   = errors.New("event too long")
	ErrMalformed = errors.New("malformed event stream")
)

// Reader reads server-sent events. It accepts lines that end in LF or CRLF and
// rejects fields that the protocol doesn't define.
type Reader struct {
	src     *bufio.Reader
	account *quota.Account // is charged for line and data
	line    []byte
	data    []byte
}

// NewReader returns a Reader that reads from src and charges its memory to the account,
// which may be nil. The caller must call Release.
func NewReader(src io.Reader, account *quota.Account) *Reader {
	return &Reader{src: bufio.NewReader(src), account: account}
}

// Release releases the memory of the Reader, which can't be used any more.
func (r *Reader) Release() {
	quota.Release(r.account, r.line)
	quota.Release(r.account, r.data)
	r.line, r.data = nil, nil
}

// add appends a part to a buffer of the Reader.
func (r *Reader) add(buf *[]byte, part []byte) error {
	grown, err := quota.Extend(r.account, *buf, len(part))
	if err != nil {
		return err
	}
	*buf = append(grown, part...)
	return nil
}

// Next returns the data of the next event, which is valid until the next call.
// It returns io.EOF if the source ends between two events and
// io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Next() ([]byte, error) {
	r.data = r.data[:0]
	lines := 0
	for {
		line, err := r.readLine()
		if err == io.EOF && (lines > 0 || len(line) > 0) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if lines > 0 {
				return r.data, nil
			}
			continue
		}
		isData, err := r.parseField(line, lines)
		if err != nil {
			return nil, err
		}
		if isData {
			lines++
		}
	}
}

// parseField adds one line to the event and reports whether it was a data
// field.
func (r *Reader) parseField(line []byte, lines int) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "id", "retry": // a comment, or a field without tokens
		return false, nil
	case "data":
	default:
		return false, ErrMalformed
	}
	if lines > 0 {
		if err := r.add(&r.data, newline); err != nil {
			return false, err
		}
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if len(r.data)+len(value) > MaxEvent {
		return false, ErrTooLong
	}
	return true, r.add(&r.data, value)
}

// readLine returns a line without its line ending. If the source ends within a
// line, it returns the incomplete line and io.EOF.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.src.ReadSlice('\n')
		if len(r.line)+len(part) > MaxEvent {
			return nil, ErrTooLong
		}
		if err == nil && len(r.line) == 0 {
			return trimEnd(part), nil
		}
		if failed := r.add(&r.line, part); failed != nil {
			return nil, failed
		}
		if err == nil {
			return trimEnd(r.line), nil
		}
		if err != bufio.ErrBufferFull {
			return r.line, err
		}
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
