// Command runner is a stand-in for a runner: one that decodes, or one of a plain service.
//
// It prints a line for each request that it runs, with the number of events of a stream.
// A share of its streams has neither a length nor chunks and ends with its connection. It
// changes no stage, since nothing asks it to.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var (
	addr     = flag.String("addr", "", "address")
	id       = flag.String("id", "", "id of this incarnation")
	engine   = flag.Bool("engine", false, "be a model runner that decodes")
	unframed = flag.Float64("unframed", 0, "share of the streams that are unframed")
	events   = flag.Int("events", 60, "events of a stream")
	gap      = flag.Duration("gap", 40*time.Millisecond, "time between events")
	work     = flag.Duration("work", 20*time.Millisecond, "time of a plain request, and before the first event")
	keeps    = flag.Bool("keeps", false, "work on when the connection of a request closes")
	born     = time.Now().UnixMilli()
	outMu    sync.Mutex
	out      = bufio.NewWriter(os.Stdout)
	// lost is the share of the streams of which the answer is lost, though they run, in
	// thousandths. The test sets it.
	lost atomic.Int64
)

func say(format string, args ...any) {
	outMu.Lock()
	defer outMu.Unlock()
	fmt.Fprintf(out, format+"\n", args...)
	_ = out.Flush()
}

func main() {
	flag.Parse()
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	say("listening %d", born)
	_ = http.Serve(l, http.HandlerFunc(serve))
}

func serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/control" {
		n, _ := strconv.ParseInt(r.URL.Query().Get("lost"), 10, 64)
		lost.Store(n)
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != *id {
		w.Header().Set("X-Instance-Id", *id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", *id)
		return
	case *engine && r.URL.Path == "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":502284,"kv_handles":0,"born":%d,"state":"ready","next":0,"runs":[]}`, born)
		return
	case *engine && r.URL.Path == "/v1/kv-list":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	case *engine && r.Header.Get("X-Stage") != "":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	req := r.Header.Get("X-Request-Id")
	if req == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if *engine {
		stream(w, r, req)
		return
	}
	time.Sleep(*work)
	say("run %s tenant=%s", req, r.Header.Get("X-Tenant"))
	w.Header().Set("X-Request-Id", req)
	w.Header().Set("X-Response-Signature", "s."+*id+"."+req)
	_, _ = io.WriteString(w, "answer to "+req)
}

func stream(w http.ResponseWriter, r *http.Request, req string) {
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(req))
	raw := float64(h.Sum32()%1000)/1000 < *unframed
	time.Sleep(*work)
	say("stream %s first=%d last=%d unframed=%t", req, first, *events, raw)
	if int64(h.Sum32()/1000%1000) < lost.Load() {
		send(r, first, func(string) error { return nil }, req)
		return
	}
	head := map[string]string{
		"Content-Type": "text/event-stream", "X-Request-Id": req,
		"X-Response-Signature": "s." + *id + "." + req, "X-Weight-Versions": "1",
	}
	if !raw {
		for k, v := range head {
			w.Header().Set(k, v)
		}
		f := w.(http.Flusher)
		send(r, first, func(b string) error {
			_, err := io.WriteString(w, b)
			f.Flush()
			return err
		}, req)
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	text := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for k, v := range head {
		text += k + ": " + v + "\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		return
	}
	send(r, first, func(b string) error { _, err := io.WriteString(c, b); return err }, req)
}

func send(r *http.Request, first int, write func(string) error, req string) {
	for n := first; n <= *events; n++ {
		if n > first {
			time.Sleep(*gap)
		}
		if r.Context().Err() != nil && !*keeps {
			say("drop %s", req)
			return
		}
		if err := write(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, req)); err != nil && !*keeps {
			say("drop %s", req)
			return
		}
	}
	say("end %s", req)
}
