// Package trace records the events of a reducer, each with a hash of the effects
// that it caused, and replays recordings.
package trace

import (
	"bufio"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

// Record is one recorded step of a reducer.
type Record struct {
	Now   msg.Time        `cbor:"1,keyasint"`
	Event cbor.RawMessage `cbor:"2,keyasint"`
	// EffectsHash is the xxHash64 of the encoded effects in order.
	EffectsHash uint64 `cbor:"3,keyasint"`
	// EffectCount is the number of effects.
	EffectCount int `cbor:"4,keyasint"`
}

// Reducer processes events and returns their effects.
type Reducer interface {
	Step(now msg.Time, ev msg.Event) []msg.Effect
}

// Recorder wraps a reducer and writes a record of each step. After a write error,
// which Close returns, nothing more is recorded; the reducer continues to work.
type Recorder struct {
	reducer Reducer
	w       *bufio.Writer
	enc     *cbor.Encoder
	err     error
}

// NewRecorder returns a recorder of a reducer that writes to w.
func NewRecorder(reducer Reducer, w io.Writer) *Recorder {
	b := bufio.NewWriter(w)
	return &Recorder{reducer: reducer, w: b, enc: cbor.NewEncoder(b)}
}

// Step calls the reducer and records the step.
func (r *Recorder) Step(now msg.Time, ev msg.Event) []msg.Effect {
	raw, err := wire.Marshal(ev)
	effs := r.reducer.Step(now, ev)
	if r.err == nil {
		r.err = err
	}
	if r.err == nil {
		r.err = r.write(now, raw, effs)
	}
	return effs
}

func (r *Recorder) write(now msg.Time, raw []byte, effs []msg.Effect) error {
	sum, err := digest(effs)
	if err != nil {
		return err
	}
	return r.enc.Encode(Record{Now: now, Event: raw, EffectsHash: sum, EffectCount: len(effs)})
}

// Close writes the buffered records, or returns the error that ended the
// recording.
func (r *Recorder) Close() error {
	if r.err != nil {
		return errors.Wrap(r.err, "trace")
	}
	return r.w.Flush()
}

// digest returns the xxHash64 of the encoded effects.
func digest(effs []msg.Effect) (uint64, error) {
	h := xxhash.New()
	for _, e := range effs {
		b, err := wire.Marshal(e)
		if err != nil {
			return 0, errors.Wrapf(err, "encode effect %T", e)
		}
		_, _ = h.Write(b)
	}
	return h.Sum64(), nil
}

// Step is one replayed step.
type Step struct {
	Index   int
	Now     msg.Time
	Event   msg.Event
	Effects []msg.Effect
	// Same reports whether the effects equal the recorded ones.
	Same bool
}

// Replay passes the events of a recording to a new reducer, which newReducer
// returns for the first event, and calls visit after each step. A truncated record
// at the end of the recording is ignored.
func Replay(r io.Reader, newReducer func(first msg.Started) Reducer, visit func(Step)) error {
	dec := cbor.NewDecoder(bufio.NewReader(r))
	var reducer Reducer
	for i := 0; ; i++ {
		var rec Record
		err := dec.Decode(&rec)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "decode record %d", i)
		}
		ev, err := wire.UnmarshalEvent(rec.Event)
		if err != nil {
			return errors.Wrapf(err, "decode event of record %d", i)
		}
		if reducer == nil {
			started, ok := ev.(msg.Started)
			if !ok {
				return errors.Newf("first event of the recording is %T, want msg.Started", ev)
			}
			reducer = newReducer(started)
		}
		effs := reducer.Step(rec.Now, ev)
		sum, err := digest(effs)
		if err != nil {
			return errors.Wrapf(err, "hash effects of record %d", i)
		}
		visit(Step{Index: i, Now: rec.Now, Event: ev, Effects: effs, Same: sum == rec.EffectsHash && len(effs) == rec.EffectCount})
	}
}
