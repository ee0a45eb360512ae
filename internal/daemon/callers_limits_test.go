package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/relay"
)

// callerCrowd is what the callers' interface may hold in a test, and the crowd before it.
const (
	crowdConns  = 64
	crowdBudget = 16 << 20
	crowdSize   = 120
	crowdHeap   = 32 << 20
)

// newCallerServer serves the callers' interface, without anything behind it, under limits.
// It returns the address.
func newCallerServer(t *testing.T) string {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	budget := relay.NewBudget(crowdBudget, log)
	r := mux.NewRouter()
	(&callerAPI{budget: budget}).routes(r)
	srv := newServer(r, log)
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(budget.Port("callers", l, crowdConns)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// liveHeap returns the bytes of memory in use.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Callers that stop a byte short of the end of a body, or stay silent, hold no more than they
// may, and an ordinary request is answered beside them.
func TestCallersHoldWhatTheyMay(t *testing.T) {
	body := strings.Repeat("x", maxBody-1)
	post := "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
	for name, sent := range map[string][]string{
		"bodies":           {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", post, maxBody), body},
		"bodies in chunks": {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", post, maxBody), body},
		"heads":            {post, strings.Repeat("a: b\r\n", 4000)},
		"silent":           nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := newCallerServer(t)
			before := liveHeap()
			for range crowdSize {
				c, err := net.Dial("tcp", addr)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				go func() {
					for _, text := range sent {
						_, _ = io.WriteString(c, text)
					}
				}()
			}
			time.Sleep(time.Second)
			if held := int64(liveHeap()) - int64(before); held > crowdHeap {
				t.Errorf("%d MB are held", held>>20)
			}
			resp, err := http.Post("http://"+addr+"/v1/completions", "application/json", strings.NewReader("{}"))
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusBadRequest) // it was read: it names no model
		})
	}
}
