package lab2

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

var runnerFlags = flag.NewFlagSet("runner", flag.ExitOnError)

var (
	runnerAddr     = runnerFlags.String("addr", "", "address")
	runnerID       = runnerFlags.String("id", "", "id of this incarnation")
	runnerEngine   = runnerFlags.Bool("engine", false, "be a model runner that decodes")
	runnerUnframed = runnerFlags.Float64("unframed", 0, "share of the streams that are unframed")
	runnerEvents   = runnerFlags.Int("events", 60, "events of a stream")
	runnerGap      = runnerFlags.Duration("gap", 40*time.Millisecond, "time between events")
	runnerWork     = runnerFlags.Duration("work", 20*time.Millisecond, "time of a plain request, and before the first event")
	runnerKeeps    = runnerFlags.Bool("keeps", false, "work on when the connection of a request closes")
	runnerBorn     = time.Now().UnixMilli()
	runnerOutMu    sync.Mutex
	runnerOut      = bufio.NewWriter(os.Stdout)
	// runnerLost is the share of the streams of which the answer is lost, though they run, in
	// thousandths. The test sets it.
	runnerLost atomic.Int64
)

func sayLine(format string, args ...any) {
	runnerOutMu.Lock()
	defer runnerOutMu.Unlock()
	fmt.Fprintf(runnerOut, format+"\n", args...)
	_ = runnerOut.Flush()
}

// runnerMain is a stand-in for a runner: one that decodes, or one of a plain service.
//
// It prints a line for each request that it runs, with the number of events of a stream.
// A share of its streams has neither a length nor chunks and ends with its connection. It
// changes no stage, since nothing asks it to.
func runnerMain() {
	_ = runnerFlags.Parse(os.Args[2:])
	l, err := net.Listen("tcp", *runnerAddr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	sayLine("listening %d", runnerBorn)
	_ = http.Serve(l, http.HandlerFunc(serveRunner))
}

func serveRunner(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/control" {
		n, _ := strconv.ParseInt(r.URL.Query().Get("lost"), 10, 64)
		runnerLost.Store(n)
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != *runnerID {
		w.Header().Set("X-Instance-Id", *runnerID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", *runnerID)
		return
	case *runnerEngine && r.URL.Path == "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":502284,"kv_handles":0,"born":%d,"state":"ready","next":0,"runs":[]}`, runnerBorn)
		return
	case *runnerEngine && r.URL.Path == "/v1/kv-list":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	case *runnerEngine && r.Header.Get("X-Stage") != "":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	req := r.Header.Get("X-Request-Id")
	if req == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if *runnerEngine {
		serveStream(w, r, req)
		return
	}
	time.Sleep(*runnerWork)
	sayLine("run %s tenant=%s", req, r.Header.Get("X-Tenant"))
	w.Header().Set("X-Request-Id", req)
	w.Header().Set("X-Response-Signature", "s."+*runnerID+"."+req)
	_, _ = io.WriteString(w, "answer to "+req)
}

func serveStream(w http.ResponseWriter, r *http.Request, req string) {
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(req))
	raw := float64(h.Sum32()%1000)/1000 < *runnerUnframed
	time.Sleep(*runnerWork)
	sayLine("stream %s first=%d last=%d unframed=%t", req, first, *runnerEvents, raw)
	if int64(h.Sum32()/1000%1000) < runnerLost.Load() {
		sendEvents(r, first, func(string) error { return nil }, req)
		return
	}
	head := map[string]string{
		"Content-Type": "text/event-stream", "X-Request-Id": req,
		"X-Response-Signature": "s." + *runnerID + "." + req, "X-Weight-Versions": "1",
	}
	if !raw {
		for k, v := range head {
			w.Header().Set(k, v)
		}
		f := w.(http.Flusher)
		sendEvents(r, first, func(b string) error {
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
	sendEvents(r, first, func(b string) error { _, err := io.WriteString(c, b); return err }, req)
}

func sendEvents(r *http.Request, first int, write func(string) error, req string) {
	for n := first; n <= *runnerEvents; n++ {
		if n > first {
			time.Sleep(*runnerGap)
		}
		if r.Context().Err() != nil && !*runnerKeeps {
			sayLine("drop %s", req)
			return
		}
		if err := write(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, req)); err != nil && !*runnerKeeps {
			sayLine("drop %s", req)
			return
		}
	}
	sayLine("end %s", req)
}
