package httpclient

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/heldup"
)

// A request that a partition held up until its caller had left must not reach its target
// when the partition has healed.
func TestRequestGivenUpNeverArrives(t *testing.T) {
	is := is.New(t)
	l, err := heldup.Listen()
	is.NoErr(err)
	defer l.Close()
	req := request("1")
	req.Body = append(bytes.Repeat([]byte("x"), heldup.Size), "end"...)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = NewPool().Do(ctx, l.Addr(), req)
	is.True(err != nil)
	arrived := l.Release()
	is.True(bytes.HasPrefix(arrived, []byte("POST"))) // the request was on its way
	is.True(!bytes.HasSuffix(arrived, []byte("end")))
}
