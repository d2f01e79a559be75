package port

import (
	"context"
	"errors"
	"time"
)

// ErrConflict means that a conditional write failed because the topic ends at
// another offset than expected.
var ErrConflict = errors.New("topic ends at another offset")

// Topic identifies a keyed topic of the store. The store keeps at least the
// newest record of each key.
type Topic int

// The topics.
const (
	TopicConfig   Topic = iota // operators' configuration; read only
	TopicTargets               // entries of the targets; read only
	TopicDaemons               // entries of the daemons
	TopicClaims                // claims to act on a subject, keyed by subject
	TopicUsage                 // organisations' usage as reported
	TopicScale                 // desired capacity of each service
	TopicVersions              // software versions that each service's targets have had recently
	TopicStreams               // software versions at which open streams began, keyed by daemon
	TopicCrashes               // content that crashed targets, keyed by daemon
)

// KeyedRecord is one record of a keyed topic.
type KeyedRecord struct {
	Key    string
	Value  []byte // nil: the key is deleted
	Offset int64
}

// KeyedPage is a page of a topic's newest records. The pages of a listing
// aren't a snapshot: records may change between two of them.
type KeyedPage struct {
	Records []KeyedRecord
	More    bool
	End     int64 // offset after the newest record when the page was made
	Relayed bool  // read from another daemon, because the store couldn't be read
}

// KeyedBatch is the result of a read of a topic.
type KeyedBatch struct {
	Records []KeyedRecord // by ascending offset; records that change nothing may be omitted
	Next    int64         // offset to read from next
}

// Store keeps state that must outlive every process. A write that returns an
// error other than ErrConflict may still have taken effect.
type Store interface {
	// Newest returns a page of newest records whose keys sort after the given
	// key.
	Newest(ctx context.Context, t Topic, after string) (KeyedPage, error)
	// Read returns the records from an offset on. If there is none, it waits up
	// to wait for one. It returns ErrExpired if they are no longer kept.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (KeyedBatch, error)
	// Put writes a record and returns its offset.
	Put(ctx context.Context, t Topic, key string, value []byte) (int64, error)
	// PutAt writes a record if it would get the offset at, and returns
	// ErrConflict otherwise.
	PutAt(ctx context.Context, t Topic, key string, value []byte, at int64) (int64, error)
}

// Newest calls handle for the newest record of each key of a topic. The records aren't
// a snapshot.
func Newest(ctx context.Context, s Store, t Topic, handle func(KeyedRecord)) error {
	after := ""
	for {
		page, err := s.Newest(ctx, t, after)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			after = r.Key
			handle(r)
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}
