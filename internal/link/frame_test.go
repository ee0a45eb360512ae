package link

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

func TestFrameRoundTrip(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	in := []*Frame{
		{Heartbeat: &Heartbeat{}},
		{Chunk: &Chunk{Seq: 3, Text: "x", Tokens: 1}},
		{End: &End{Result: msg.AttemptMoved, Frames: 4, Checksum: 5}},
	}
	for _, f := range in {
		is.NoErr(writeFrame(&b, f))
	}
	for _, want := range in {
		got, err := readFrame(&b)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestInvalidFramesAreRejected(t *testing.T) {
	is := is.New(t)
	var large [lengthPrefixBytes]byte
	binary.BigEndian.PutUint32(large[:], wire.MaxMessage+1)
	_, err := readFrame(bytes.NewReader(large[:]))
	is.True(errors.Is(err, ErrFrameTooLarge))
	_, err = readFrame(bytes.NewReader([]byte{0, 0, 0, 9, 1}))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if err := writeFrame(&b, &Frame{Open: &AttemptOpen{Spec: msg.AttemptSpec{Attempt: "a"}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, in []byte) {
		frame, err := readFrame(bytes.NewReader(in))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := writeFrame(&out, frame); err != nil {
			t.Fatalf("write of a frame that was read: %v", err)
		}
		again, err := readFrame(&out)
		if err != nil {
			t.Fatalf("read of a frame that was written: %v", err)
		}
		is.New(t).Equal(frame, again)
	})
}
