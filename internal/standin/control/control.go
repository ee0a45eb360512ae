// Package control injects faults into a stand-in for tests and the demo, and
// records whether the stand-in received a caller's credential, which must never
// happen.
package control

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Faults is the body of POST /control/faults. Slow, Refuse and LoadLag
// replace the current settings; the other fields act once.
type Faults struct {
	// Crash drops all connections and all volatile state. The stand-in then
	// aborts every connection for CrashFor; zero means until a call with
	// Restart.
	Crash    bool              `json:"crash,omitempty"`
	CrashFor manifest.Duration `json:"crashFor,omitempty"`
	Restart  bool              `json:"restart,omitempty"`
	// Freeze stops the output of the calls that are running now for good,
	// without closing their connections.
	Freeze bool `json:"freeze,omitempty"`
	// Slow is a factor for every duration; zero and one mean full speed.
	Slow float64 `json:"slow,omitempty"`
	// Refuse answers every new call with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// LoadLag is added to the age of load reports.
	LoadLag manifest.Duration `json:"loadLag,omitempty"`
}

// Injector applies the current faults of one stand-in. It is safe for
// concurrent use.
type Injector struct {
	mu             sync.Mutex
	faults         Faults
	down           bool
	downUntil      time.Time
	runCtx         context.Context
	cancelRun      context.CancelFunc
	frozen         chan struct{}
	credentialSeen bool
	onCrash        func()
}

// NewInjector returns an injector without faults. It calls onCrash at each
// crash.
func NewInjector(onCrash func()) *Injector {
	i := &Injector{onCrash: onCrash, frozen: make(chan struct{})}
	i.runCtx, i.cancelRun = context.WithCancel(context.Background())
	return i
}

// ServeFaults handles POST /control/faults.
func (i *Injector) ServeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// Set applies faults as a call to POST /control/faults does.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	i.faults = f
	if f.Restart {
		i.down = false
	}
	if f.Freeze {
		close(i.frozen)
		i.frozen = make(chan struct{})
	}
	i.mu.Unlock()
	if f.Crash {
		i.Crash(f.CrashFor.D())
	}
}

// Crash aborts all running calls and every new call for the downtime; zero
// means until a call of Set with Restart.
func (i *Injector) Crash(downtime time.Duration) {
	i.mu.Lock()
	i.cancelRun()
	i.runCtx, i.cancelRun = context.WithCancel(context.Background())
	i.down = true
	i.downUntil = time.Time{}
	if downtime > 0 {
		i.downUntil = time.Now().Add(downtime)
	}
	i.mu.Unlock()
	i.onCrash()
}

// Down reports whether the stand-in has crashed and not started again.
func (i *Injector) Down() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down && !i.downUntil.IsZero() && time.Now().After(i.downUntil) {
		i.down = false
	}
	return i.down
}

// Slowed returns d multiplied by the current Faults.Slow.
func (i *Injector) Slowed(d time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Slow > 0 {
		return time.Duration(float64(d) * i.faults.Slow)
	}
	return d
}

// LoadLag returns the duration to add to the age of load reports.
func (i *Injector) LoadLag() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.LoadLag.D()
}

// RunContext returns a context that is cancelled by the next crash.
func (i *Injector) RunContext() context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runCtx
}

// Frozen returns a channel that is closed when the calls that are running now
// must stop their output.
func (i *Injector) Frozen() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.frozen
}

// CredentialSeen reports whether any call contained a caller's credential.
func (i *Injector) CredentialSeen() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.credentialSeen
}

// Wrap returns a handler that applies the current faults to the calls of next.
// Calls below /control/ are always served.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/control/") {
			next.ServeHTTP(w, r)
			return
		}
		i.recordCredential(r)
		if i.Down() {
			panic(http.ErrAbortHandler)
		}
		if i.refusing() {
			http.Error(w, `{"error":{"code":"refused","message":"stand-in refuses"}}`, http.StatusServiceUnavailable)
			return
		}
		i.serve(next, w, r)
	})
}

// serve runs a call. A crash cancels the call's context and aborts its
// connection.
func (i *Injector) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	run := i.RunContext()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(run, cancel)()
	next.ServeHTTP(w, r.WithContext(ctx))
	if run.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (i *Injector) refusing() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Refuse
}

// recordCredential records whether the call has a header for a caller's
// credential.
func (i *Injector) recordCredential(r *http.Request) {
	if r.Header.Get("Authorization") == "" && r.Header.Get("Api-Key") == "" && r.Header.Get("X-Api-Key") == "" {
		return
	}
	i.mu.Lock()
	i.credentialSeen = true
	i.mu.Unlock()
}

// Sleep waits for d, multiplied by the current Faults.Slow, or until the
// context ends. It reports whether the whole time passed.
func (i *Injector) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(i.Slowed(d))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
