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
	s := &Injector{onCrash: onCrash, frozen: make(chan struct{})}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	return s
}

// ServeFaults handles POST /control/faults.
func (s *Injector) ServeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// Set applies faults as a call to POST /control/faults does.
func (s *Injector) Set(f Faults) {
	s.mu.Lock()
	s.faults = f
	if f.Restart {
		s.down = false
	}
	if f.Freeze {
		close(s.frozen)
		s.frozen = make(chan struct{})
	}
	s.mu.Unlock()
	if f.Crash {
		s.Crash(f.CrashFor.D())
	}
}

// Crash aborts all running calls and every new call for the downtime; zero
// means until a call of Set with Restart.
func (s *Injector) Crash(downtime time.Duration) {
	s.mu.Lock()
	s.cancelRun()
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.down = true
	s.downUntil = time.Time{}
	if downtime > 0 {
		s.downUntil = time.Now().Add(downtime)
	}
	s.mu.Unlock()
	s.onCrash()
}

// Down reports whether the stand-in has crashed and not started again.
func (s *Injector) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !s.downUntil.IsZero() && time.Now().After(s.downUntil) {
		s.down = false
	}
	return s.down
}

// Slowed returns d multiplied by the current Faults.Slow.
func (s *Injector) Slowed(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow > 0 {
		return time.Duration(float64(d) * s.faults.Slow)
	}
	return d
}

// LoadLag returns the duration to add to the age of load reports.
func (s *Injector) LoadLag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LoadLag.D()
}

// RunContext returns a context that is cancelled by the next crash.
func (s *Injector) RunContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCtx
}

// Frozen returns a channel that is closed when the calls that are running now
// must stop their output.
func (s *Injector) Frozen() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

// CredentialSeen reports whether any call contained a caller's credential.
func (s *Injector) CredentialSeen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.credentialSeen
}

// Wrap returns a handler that applies the current faults to the calls of next.
// Calls below /control/ are always served.
func (s *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/control/") {
			next.ServeHTTP(w, r)
			return
		}
		s.recordCredential(r)
		if s.Down() {
			panic(http.ErrAbortHandler)
		}
		if s.refusing() {
			http.Error(w, `{"error":{"code":"refused","message":"stand-in refuses"}}`, http.StatusServiceUnavailable)
			return
		}
		s.serve(next, w, r)
	})
}

// serve runs a call. A crash cancels the call's context and aborts its
// connection.
func (s *Injector) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	run := s.RunContext()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(run, cancel)()
	next.ServeHTTP(w, r.WithContext(ctx))
	if run.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Injector) refusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Refuse
}

// recordCredential records whether the call has a header for a caller's
// credential.
func (s *Injector) recordCredential(r *http.Request) {
	if r.Header.Get("Authorization") == "" && r.Header.Get("Api-Key") == "" && r.Header.Get("X-Api-Key") == "" {
		return
	}
	s.mu.Lock()
	s.credentialSeen = true
	s.mu.Unlock()
}

// Sleep waits for d, multiplied by the current Faults.Slow, or until the
// context ends. It reports whether the whole time passed.
func (s *Injector) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(s.Slowed(d))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
