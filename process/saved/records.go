package saved

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// Records keeps the newest record of each key outside the fleet.
type Records interface {
	// Put replaces the record of a key. A nil value removes it.
	Put(ctx context.Context, key string, value []byte) error
	// Newest calls handle for the newest record of each key.
	Newest(ctx context.Context, handle func(key string, value []byte)) error
}

// InTopic returns the records of a keyed topic of a store.
func InTopic(s port.Store, t port.Topic) Records { return topicRecords{store: s, topic: t} }

type topicRecords struct {
	store port.Store
	topic port.Topic
}

// Put implements Records.
func (r topicRecords) Put(ctx context.Context, key string, value []byte) error {
	_, err := r.store.Put(ctx, r.topic, key, value)
	return err
}

// Newest implements Records.
func (r topicRecords) Newest(ctx context.Context, handle func(key string, value []byte)) error {
	return port.Newest(ctx, r.store, r.topic, func(rec port.KeyedRecord) { handle(rec.Key, rec.Value) })
}

// InStream returns records that are appended to a stream of a log. The log keeps them for
// a limited time only; see Options.Refresh. The result is used by one goroutine.
func InStream(l port.Log, stream, writer string) Records {
	return &streamRecords{log: l, stream: stream, writer: writer, newest: make(map[string][]byte)}
}

// readBatch is the number of records that are read from a stream at a time.
const readBatch = 64

type streamRecords struct {
	log    port.Log
	stream string
	writer string
	next   int64             // offset to read from; 0: nothing was read
	newest map[string][]byte // of the records before next
}

// keyedBody is the body of a record of kind record.KindSaved.
type keyedBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"` // missing: the key is removed
}

// Put implements Records.
func (r *streamRecords) Put(ctx context.Context, key string, value []byte) error {
	body, err := json.Marshal(keyedBody{Key: key, Value: value})
	if err != nil {
		return fmt.Errorf("saved: encode: %w", err)
	}
	data, err := json.Marshal(record.Envelope{ID: uuid.NewString(), Kind: record.KindSaved, Writer: r.writer, Body: body})
	if err != nil {
		return fmt.Errorf("saved: encode: %w", err)
	}
	_, err = r.log.Append(ctx, r.stream, data)
	return err
}

// Newest implements Records.
func (r *streamRecords) Newest(ctx context.Context, handle func(key string, value []byte)) error {
	if err := r.read(ctx); err != nil {
		return err
	}
	for key, value := range r.newest {
		handle(key, value)
	}
	return nil
}

// read reads the records that were appended since the last call.
func (r *streamRecords) read(ctx context.Context) error {
	for {
		records, last, err := r.readBatch(ctx)
		if err != nil {
			return err
		}
		for _, rec := range records {
			r.apply(rec.Data)
			r.next = rec.Offset + 1
		}
		if len(records) == 0 || r.next > last {
			return nil
		}
	}
}

func (r *streamRecords) readBatch(ctx context.Context) (records []port.Record, last int64, err error) {
	if r.next > 0 {
		records, last, err = r.log.Read(ctx, r.stream, r.next, readBatch, 0)
		if !errors.Is(err, port.ErrExpired) {
			return records, last, err
		}
	}
	if r.next, err = r.log.Earliest(ctx, r.stream); err != nil {
		return nil, 0, err
	}
	return r.log.Read(ctx, r.stream, r.next, readBatch, 0)
}

func (r *streamRecords) apply(data []byte) {
	var env record.Envelope
	var body keyedBody
	err := json.Unmarshal(data, &env)
	if err == nil {
		err = json.Unmarshal(env.Body, &body)
	}
	switch {
	case err != nil:
		log.WithError(err).WithField("stream", r.stream).Warn("saved: can't decode a record")
	case body.Value == nil:
		delete(r.newest, body.Key)
	default:
		r.newest[body.Key] = body.Value
	}
}
