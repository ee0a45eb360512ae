// Package wire encodes the messages between daemons and the recorded events
// as CBOR. There are three unions, each the set of concrete types of an
// interface: peer messages, events and effects. Each type of a union has its own
// CBOR tag number.
package wire

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// First tag number of each union. A tag number is never reused for another
// type.
const (
	tagPeer   = 40_000
	tagEvent  = 41_000
	tagEffect = 42_000
)

// MaxMessage is the largest size of an encoded message in bytes.
const MaxMessage = 4 << 20

// ErrTooLarge is returned for a message of more than [MaxMessage] bytes.
var ErrTooLarge = errors.Newf("message is larger than %d bytes", MaxMessage)

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	tags := cbor.NewTagSet()
	register(tags, tagPeer, msg.PeerTypes())
	register(tags, tagEvent, msg.EventTypes())
	register(tags, tagEffect, msg.EffectTypes())
	enc = must(encOptions().EncModeWithTags(tags))
	dec = must(cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  32,
	}.DecModeWithTags(tags))
}

func encOptions() cbor.EncOptions {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	return o
}

// register assigns consecutive tag numbers, starting at first, to the types of a
// union.
func register(tags cbor.TagSet, first uint64, types []reflect.Type) {
	opts := cbor.TagOptions{DecTag: cbor.DecTagRequired, EncTag: cbor.EncTagRequired}
	for i, t := range types {
		if err := tags.Add(opts, t, first+uint64(i)); err != nil {
			panic("wire: " + err.Error())
		}
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic("wire: " + err.Error())
	}
	return v
}

// Marshal encodes a value. The encoding is deterministic.
func Marshal(v any) ([]byte, error) { return enc.Marshal(v) }

// Unmarshal decodes a value of at most [MaxMessage] bytes.
func Unmarshal(b []byte, v any) error {
	if len(b) > MaxMessage {
		return ErrTooLarge
	}
	return dec.Unmarshal(b, v)
}

// UnmarshalPeer decodes a message from another daemon.
func UnmarshalPeer(b []byte) (msg.PeerMessage, error) { return unmarshalUnion[msg.PeerMessage](b) }

// UnmarshalEvent decodes a recorded event.
func UnmarshalEvent(b []byte) (msg.Event, error) {
	ev, err := unmarshalUnion[msg.Event](b)
	if p, ok := ev.(msg.PeerReceived); ok && p.Message != nil {
		// A union value in a field is decoded to a pointer to its concrete
		// type.
		p.Message = reflect.ValueOf(p.Message).Elem().Interface().(msg.PeerMessage)
		ev = p
	}
	return ev, err
}

// unmarshalUnion decodes a value of the union with the interface T.
func unmarshalUnion[T any](b []byte) (T, error) {
	var v any
	var zero T
	if err := Unmarshal(b, &v); err != nil {
		return zero, err
	}
	t, ok := v.(T)
	if !ok {
		return zero, errors.Newf("unexpected message type %T", v)
	}
	return t, nil
}
