package port

import (
	"context"
	"errors"
	"time"
)

// ErrConflict means that a conditional write found another end than expected.
var ErrConflict = errors.New("the topic has moved on")

// Topic names a keyed topic of the store: the newest record of each key stays.
type Topic int

// The topics.
const (
	TopicConfig  Topic = iota // operators' configuration; read only
	TopicTargets              // targets announce themselves; read only
	TopicDaemons              // daemons announce themselves
	TopicClaims               // claims to act, one key a subject
	TopicUsage                // what is reported of organisations' use
	TopicScale                // the capacity that each service is to have
)

// KeyedRecord is one record of a keyed topic.
type KeyedRecord struct {
	Key    string
	Value  []byte // nil: the key is dropped
	Offset int64
}

// KeyedPage is a part of a topic's newest records. Pages are no snapshot:
// records may change between two of them.
type KeyedPage struct {
	Records []KeyedRecord
	More    bool
	End     int64 // offset after the newest record when the page was made
	Relayed bool  // another daemon gave it, since the store couldn't be read
}

// KeyedBatch is what a read of a topic returns.
type KeyedBatch struct {
	Records []KeyedRecord // by rising offset; records that change nothing may be left out
	Next    int64         // offset to read from next
}

// Store keeps what must outlast every process. Its writes may have had an
// effect although they returned an error, unless that is ErrConflict.
type Store interface {
	// Newest returns newest records whose keys come after the given one.
	Newest(ctx context.Context, t Topic, after string) (KeyedPage, error)
	// Read returns the records from an offset on. With none to return it waits
	// up to wait. ErrExpired: they are no longer kept.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (KeyedBatch, error)
	// Put writes a record and returns its offset.
	Put(ctx context.Context, t Topic, key string, value []byte) (int64, error)
	// PutAt writes a record only if it gets this offset, else ErrConflict.
	PutAt(ctx context.Context, t Topic, key string, value []byte, at int64) (int64, error)
}
