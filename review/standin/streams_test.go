package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a model runner with a stage. It reads prompts or makes tokens, takes orders,
// and goes on with a stream after Last-Event-Id.
type engine struct {
	*Runner
	handles *handles
	pieces  int
	gap     time.Duration

	smu   sync.Mutex
	stage string
	back  time.Time // when an order is complete
	seq   int
}

// handles holds the KV caches that were read and not yet taken.
type handles struct {
	mu   sync.Mutex
	next int
	of   map[string]string // request by handle
}

func newEngine(w *World, h *handles, id, zone, stage string, pieces int, gap time.Duration) *engine {
	e := &engine{handles: h, pieces: pieces, gap: gap, stage: stage}
	e.Runner = newRunner(w.rec, w.store, id, "brief-llm", zone, 64, nil)
	e.Stage = stage
	e.Runner.serve = e.run
	e.Runner.extra = e.extra
	return e
}

// extra serves what only engines have: reports, orders, handles and the reading of prompts.
func (e *engine) extra(w http.ResponseWriter, req *http.Request) bool {
	e.smu.Lock()
	defer e.smu.Unlock()
	busy := time.Now().Before(e.back)
	switch {
	case req.URL.Path == "/v1/report":
		_, _ = fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":%v,"seq":%d,"queued":0,"active":0,"kv_used":0,"kv_total":502284,"kv_handles":0,"born":%d}`, e.stage, busy, e.seq, e.bornAt())
	case req.URL.Path == "/v1/order":
		e.order(w, req, busy)
	case strings.HasPrefix(req.URL.Path, "/v1/kv-handle/"):
		e.handles.mu.Lock()
		delete(e.handles.of, strings.TrimPrefix(req.URL.Path, "/v1/kv-handle/"))
		e.handles.mu.Unlock()
	case strings.HasPrefix(req.URL.Path, "/v1/") || req.URL.Path == "/healthz":
		return false
	case busy:
		notRun(w, http.StatusServiceUnavailable)
	case req.Header.Get("X-Stage") == "prefill":
		e.prefill(w, req)
	case e.stage != "decode":
		notRun(w, http.StatusMisdirectedRequest)
	case !e.takeHandle(req):
		notRun(w, http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) order(w http.ResponseWriter, req *http.Request, busy bool) {
	var o struct {
		Op, Stage, Holder string
		Fence             int64
		Expect            *int
	}
	b, _ := io.ReadAll(req.Body)
	switch {
	case json.Unmarshal(b, &o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
	case o.Stage == e.stage && !busy:
		w.WriteHeader(http.StatusOK)
	case busy || o.Expect != nil && *o.Expect != e.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		e.rec.Logf("order runner=%s %s", e.ID, b)
		e.seq++
		e.stage = o.Stage
		e.back = time.Now().Add(3 * time.Second)
		born := e.bornAt()
		time.AfterFunc(3*time.Second, func() {
			if e.bornAt() == born {
				e.setStage(o.Stage)
				e.beat()
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) prefill(w http.ResponseWriter, req *http.Request) {
	if e.stage != "prefill" {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(15 * time.Millisecond)
	e.handles.mu.Lock()
	e.handles.next++
	h := fmt.Sprintf("h%06x", e.handles.next)
	e.handles.of[h] = req.Header.Get("X-Request-Id")
	e.handles.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"handle":%q,"tokens":100,"version":1}`, h)
}

// takeHandle takes the handle that a request names, if any.
func (e *engine) takeHandle(req *http.Request) bool {
	_, h, named := strings.Cut(req.Header.Get("X-Kv-Source"), "/")
	if !named {
		return true
	}
	e.handles.mu.Lock()
	defer e.handles.mu.Unlock()
	id := e.handles.of[h]
	delete(e.handles.of, h)
	return id == req.Header.Get("X-Request-Id")
}

// run makes the events of a stream. What each holds names the runner's version.
func (e *engine) run(r *Runner, w http.ResponseWriter, req *http.Request) {
	version := r.Version
	w.Header().Set("Content-Type", "text/event-stream")
	for i := atoi(req.Header.Get("Last-Event-Id")) + 1; i <= e.pieces; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, r.ID, version); err != nil {
			return
		}
		flush(w)
		select {
		case <-time.After(e.gap):
		case <-req.Context().Done():
			return
		}
	}
}

// upgrade restarts the runner in place, under its id and at its address, with other
// software.
func (e *engine) upgrade(version string, down time.Duration) {
	e.rec.Logf("runner %s ends", e.ID)
	e.Crash()
	time.Sleep(down)
	e.mu.Lock()
	e.Version = version
	e.mu.Unlock()
	e.smu.Lock()
	e.seq, e.back = 0, time.Time{}
	e.smu.Unlock()
	e.Start()
	e.rec.Logf("runner %s runs again, version %s", e.ID, version)
}

// mixedVersions: the runners of a service are replaced in place by a new version of their
// software while the store is down.
func mixedVersions(w *World) []string {
	w.store.Put("config", "main", config(7))
	h := &handles{of: map[string]string{}}
	var engines []*engine
	for i := range 6 {
		stage := "decode"
		if i >= 4 {
			stage = "prefill"
		}
		e := newEngine(w, h, fmt.Sprintf("i-%07x", 0x51d200+i), []string{"tc-north", "tc-east", "tc-south"}[i%3], stage, 16, 120*time.Millisecond)
		e.Start()
		engines = append(engines, e)
	}
	w.startDaemons(2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var mixed []string
	var served, cut atomic.Int64
	end := time.Now().Add(40 * time.Second)
	go func() {
		time.Sleep(25 * time.Second) // the record of versions is complete
		if !w.trouble {
			return
		}
		w.store.Outage(true)
		time.AfterFunc(4500*time.Millisecond, func() { w.store.Outage(false) })
		time.Sleep(500 * time.Millisecond)
		for i, e := range engines {
			go e.upgrade("v2", 200*time.Millisecond)
			if i%2 == 1 {
				time.Sleep(time.Second)
			}
		}
	}()
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(40 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d := w.daemons[n%len(w.daemons)]
			r := &Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: "POST", Host: host, Path: "/depot/q", Body: fmt.Sprintf("prompt %d", n), Deadline: 3 * time.Second, Header: []string{
				"X-Api-Key: " + key, "X-Model: m", "X-Token-Usage: 60,16", fmt.Sprintf("X-Prefix-Hash: %08x:40,%08x:20", 0x5c1e0000+n%59, n),
			}}
			a := do(d.Front, r)
			versions := map[string]bool{}
			var text []string
			for _, e := range events(a.Body) {
				f := strings.Fields(e.data)
				versions[f[1]] = true
				text = append(text, e.id+":"+f[0][len(f[0])-2:]+"/"+f[1])
			}
			w.rec.Logf("client id=%s daemon=%s status=%d complete=%v events=%s", r.ID, d.Name, a.Status, a.Complete, strings.Join(text, " "))
			if a.Complete && a.Status == 200 {
				served.Add(1)
			} else {
				cut.Add(1)
			}
			if len(versions) > 1 {
				mu.Lock()
				mixed = append(mixed, r.ID+": "+strings.Join(text, " "))
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	fmt.Println("served", served.Load(), "cut or refused", cut.Load(), "mixed", len(mixed))
	w.rec.Logf("served %d, cut or refused %d, with events of two versions %d", served.Load(), cut.Load(), len(mixed))
	if served.Load() == 0 {
		cannotRun("no stream was served")
	}
	if len(mixed) <= 2 {
		return nil
	}
	return append([]string{fmt.Sprintf("ORDER %d streams hold events of two versions", len(mixed))}, mixed[:3]...)
}
