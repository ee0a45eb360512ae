// Package link carries frames between the system's processes over QUIC with
// mutual TLS.
//
// A connection starts with a control stream on which both ends say [Hello]
// and then exchange heartbeats, peer messages, load reports, cache events and
// orders. Each attempt has a stream of its own. A connection or stream on
// which nothing arrives for [IdleTimeout] is given up; its attempts are
// resumed on a new connection, which has a local port of its own.
package link

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

const (
	// HeartbeatInterval is the time between heartbeats on an attempt's stream.
	HeartbeatInterval = 500 * time.Millisecond
	// IdleTimeout is the time without any frame after which an attempt's
	// stream is given up.
	IdleTimeout = 2 * time.Second
	// ControlHeartbeatInterval is the time between heartbeats on a control stream, of
	// which a daemon has many that are mostly idle.
	ControlHeartbeatInterval = time.Second
	// ControlIdleTimeout is the time without any frame after which a control stream
	// is given up.
	ControlIdleTimeout = 3500 * time.Millisecond
	// writeLimit bounds the wait for flow control of one control frame.
	writeLimit = 2 * time.Second
	// lengthBytes is the size of the length that stands before each frame.
	lengthBytes = 4
)

// ErrFrameTooLarge is returned for a frame over [wire.MaxMessage] bytes.
var ErrFrameTooLarge = errors.New("frame is too large")

// Frame is one message of a stream; exactly one field is set.
type Frame struct {
	Hello       *Hello          `cbor:"1,keyasint,omitempty"`
	Heartbeat   *Heartbeat      `cbor:"2,keyasint,omitempty"`
	PeerMessage cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	LoadReport  *msg.LoadReport `cbor:"4,keyasint,omitempty"`
	CacheEvents *CacheEvents    `cbor:"5,keyasint,omitempty"`
	Order       *msg.Order      `cbor:"6,keyasint,omitempty"`
	OrderReply  *msg.OrderReply `cbor:"7,keyasint,omitempty"`
	Open        *AttemptOpen    `cbor:"8,keyasint,omitempty"`
	Resume      *AttemptResume  `cbor:"9,keyasint,omitempty"`
	Cancel      *AttemptCancel  `cbor:"10,keyasint,omitempty"`
	Accepted    *Accepted       `cbor:"11,keyasint,omitempty"`
	Refused     *Refused        `cbor:"12,keyasint,omitempty"`
	Head        *Head           `cbor:"13,keyasint,omitempty"`
	Chunk       *Chunk          `cbor:"14,keyasint,omitempty"`
	End         *End            `cbor:"15,keyasint,omitempty"`
	Ack         *AttemptAck     `cbor:"16,keyasint,omitempty"`
}

// Hello introduces a process. The host must match its certificate.
type Hello struct {
	Host        msg.HostID          `cbor:"1,keyasint"`
	Incarnation msg.Incarnation     `cbor:"2,keyasint"`
	Domain      msg.FailureDomain   `cbor:"3,keyasint"`
	Target      *msg.TargetIdentity `cbor:"4,keyasint,omitempty"`
	// TargetURL is the base address of an engine for KV transfers.
	TargetURL string `cbor:"5,keyasint,omitempty"`
}

// Heartbeat keeps an idle stream alive.
type Heartbeat struct{}

// CacheEvents passes on cache events of a target.
type CacheEvents struct {
	Events []msg.CacheEvent `cbor:"1,keyasint"`
}

// AttemptOpen starts an attempt.
type AttemptOpen struct {
	Spec    msg.AttemptSpec `cbor:"1,keyasint"`
	Payload Payload         `cbor:"2,keyasint"`
	// KVURL is the base address of the engine that Spec.KVFrom names.
	KVURL string `cbor:"3,keyasint,omitempty"`
}

// Payload is the request as the target gets it. It holds no credentials.
type Payload struct {
	Method      string `cbor:"1,keyasint"`
	Path        string `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty"`
	// ResumeText and ResumeTokens are the answer that the caller already has.
	ResumeText   string `cbor:"5,keyasint,omitempty"`
	ResumeTokens int    `cbor:"6,keyasint,omitempty"`
}

// AttemptResume continues an attempt on another stream. A side daemon that
// does not know the attempt refuses it, and from then on never runs it.
type AttemptResume struct {
	Attempt msg.AttemptID `cbor:"1,keyasint"`
	// Next is the sequence number of the first frame that is wanted.
	Next uint64 `cbor:"2,keyasint"`
}

// AttemptCancel stops an attempt.
type AttemptCancel struct {
	Reason string `cbor:"1,keyasint"`
}

// Credit is the number of heads and chunks that a side daemon may send beyond
// the last acknowledged one. It keeps a slow caller from filling the
// connection's flow control window, which all streams share.
const Credit = 256

// AttemptAck tells that the caller's side has taken the frames before Next.
type AttemptAck struct {
	Next uint64 `cbor:"1,keyasint"`
}

// Accepted says that the attempt was taken on.
type Accepted struct{}

// Refused says that the attempt did not run and will not run.
type Refused struct {
	Code       string        `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Head is the head of a plain service's answer.
type Head struct {
	Seq         uint64 `cbor:"1,keyasint"`
	Status      int    `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
}

// Chunk is a piece of an answer. Sequence numbers of heads and chunks start
// at zero and have no gaps.
type Chunk struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Text is generated text; Data is a plain service's body.
	Text   string `cbor:"2,keyasint,omitempty"`
	Data   []byte `cbor:"3,keyasint,omitempty"`
	Tokens int    `cbor:"4,keyasint,omitempty"`
	Finish string `cbor:"5,keyasint,omitempty"`
}

// End closes an answer.
type End struct {
	Result msg.AttemptResult `cbor:"1,keyasint"`
	Reason string            `cbor:"2,keyasint,omitempty"`
	// Frames is the number of heads and chunks, and Checksum the xxHash64 of
	// their content in order.
	Frames   uint64         `cbor:"3,keyasint"`
	Checksum uint64         `cbor:"4,keyasint"`
	Usage    msg.TokenUsage `cbor:"5,keyasint"`
}

// writeFrame writes one frame behind its length.
func writeFrame(w io.Writer, f *Frame) error {
	b, err := wire.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "frame")
	}
	if len(b) > wire.MaxMessage {
		return ErrFrameTooLarge
	}
	buf := make([]byte, lengthBytes, lengthBytes+len(b))
	binary.BigEndian.PutUint32(buf, uint32(len(b)))
	_, err = w.Write(append(buf, b...))
	return err
}

// readFrame reads one frame.
func readFrame(r io.Reader) (*Frame, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > wire.MaxMessage {
		return nil, ErrFrameTooLarge
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	var f Frame
	if err := wire.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	return &f, nil
}
