// Package link transports frames between the system's processes over QUIC with
// mutual TLS.
//
// A connection starts with a control stream, on which both ends send [Hello]
// and then exchange heartbeats, peer messages, load reports, cache events and
// orders. Each attempt has its own stream. A connection or attempt stream on
// which nothing arrives for [IdleTimeout] is considered lost; its attempts are
// resumed on a new connection, which uses a new local port.
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
	// HeartbeatInterval is the time between heartbeats on an attempt stream.
	HeartbeatInterval = 500 * time.Millisecond
	// IdleTimeout is the time after which an attempt stream without any frame,
	// or a connection without any packet, is considered lost.
	IdleTimeout = 2 * time.Second
	// ControlHeartbeatInterval is the time between heartbeats on a control
	// stream. It is longer than HeartbeatInterval because a daemon has many
	// control streams, which are mostly idle.
	ControlHeartbeatInterval = time.Second
	// ControlIdleTimeout is the time without any frame after which a control
	// stream is considered lost.
	ControlIdleTimeout = 3500 * time.Millisecond
	// writeTimeout bounds the wait for flow control when a control frame or a
	// heartbeat is written.
	writeTimeout = 2 * time.Second
	// lengthPrefixBytes is the size of the length prefix of each frame.
	lengthPrefixBytes = 4
)

// ErrFrameTooLarge is returned for a frame of more than [wire.MaxMessage] bytes.
var ErrFrameTooLarge = errors.New("frame is too large")

// Frame is one message on a stream. Exactly one field is set.
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

// Hello identifies a process at the start of a connection. Host must match the
// certificate of the process.
type Hello struct {
	Host        msg.HostID          `cbor:"1,keyasint"`
	Incarnation msg.Incarnation     `cbor:"2,keyasint"`
	Domain      msg.FailureDomain   `cbor:"3,keyasint"`
	Target      *msg.TargetIdentity `cbor:"4,keyasint,omitempty"`
	// TargetURL is the base URL of an engine for KV transfers.
	TargetURL string `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is sent on an idle stream so that it does not time out.
type Heartbeat struct{}

// CacheEvents forwards cache events of a target.
type CacheEvents struct {
	Events []msg.CacheEvent `cbor:"1,keyasint"`
}

// AttemptOpen starts an attempt.
type AttemptOpen struct {
	Spec    msg.AttemptSpec `cbor:"1,keyasint"`
	Payload Payload         `cbor:"2,keyasint"`
	// KVURL is the base URL of the engine that Spec.KVFrom names.
	KVURL string `cbor:"3,keyasint,omitempty"`
}

// Payload is the request as it is sent to the target. It contains no
// credentials.
type Payload struct {
	Method      string `cbor:"1,keyasint"`
	Path        string `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty"`
	// ResumeText and ResumeTokens are the text and the number of tokens of the
	// response that the caller has already received.
	ResumeText   string `cbor:"5,keyasint,omitempty"`
	ResumeTokens int    `cbor:"6,keyasint,omitempty"`
}

// AttemptResume continues an attempt on another stream. A side daemon that has
// no record of the attempt refuses it, and from then on never runs it.
type AttemptResume struct {
	Attempt msg.AttemptID `cbor:"1,keyasint"`
	// Next is the sequence number of the first frame to send.
	Next uint64 `cbor:"2,keyasint"`
}

// AttemptCancel cancels an attempt.
type AttemptCancel struct {
	Reason string `cbor:"1,keyasint"`
}

// Credit is the number of heads and chunks that a side daemon may send beyond
// the last acknowledged one. Without this limit, a slow caller could fill the
// flow control window of the connection, which all streams share.
const Credit = 256

// AttemptAck acknowledges that the entry daemon has taken the frames before
// Next.
type AttemptAck struct {
	Next uint64 `cbor:"1,keyasint"`
}

// Accepted reports that the attempt was accepted.
type Accepted struct{}

// Refused reports that the attempt did not run and will not run.
type Refused struct {
	Code       string        `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Head is the status and content type of a plain service's response.
type Head struct {
	Seq         uint64 `cbor:"1,keyasint"`
	Status      int    `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
}

// Chunk is a part of a response. The sequence numbers of heads and chunks start
// at zero and have no gaps.
type Chunk struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Text is generated text. Data is a part of the body of a plain service's
	// response.
	Text   string `cbor:"2,keyasint,omitempty"`
	Data   []byte `cbor:"3,keyasint,omitempty"`
	Tokens int    `cbor:"4,keyasint,omitempty"`
	Finish string `cbor:"5,keyasint,omitempty"`
}

// End reports the end of an attempt and its result.
type End struct {
	Result msg.AttemptResult `cbor:"1,keyasint"`
	Reason string            `cbor:"2,keyasint,omitempty"`
	// Frames is the number of heads and chunks. Checksum is the xxHash64 of
	// their content in order.
	Frames   uint64         `cbor:"3,keyasint"`
	Checksum uint64         `cbor:"4,keyasint"`
	Usage    msg.TokenUsage `cbor:"5,keyasint"`
}

// writeFrame writes one frame with its length prefix.
func writeFrame(w io.Writer, f *Frame) error {
	b, err := wire.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "frame")
	}
	if len(b) > wire.MaxMessage {
		return ErrFrameTooLarge
	}
	buf := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(b))
	binary.BigEndian.PutUint32(buf, uint32(len(b)))
	_, err = w.Write(append(buf, b...))
	return err
}

// readFrame reads one frame with its length prefix.
func readFrame(r io.Reader) (*Frame, error) {
	var head [lengthPrefixBytes]byte
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
