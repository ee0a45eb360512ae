// Package control lets tests and the demo make a stand-in misbehave, and
// records what the stand-in must never see.
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
// replace the present settings; the other fields act once.
type Faults struct {
	// Crash drops all connections and all volatile state. The stand-in
	// answers nothing for CrashFor; zero means until a call with Restart.
	Crash    bool              `json:"crash,omitempty"`
	CrashFor manifest.Duration `json:"crashFor,omitempty"`
	Restart  bool              `json:"restart,omitempty"`
	// Freeze makes the calls that are running now silent for good, without
	// closing their connections.
	Freeze bool `json:"freeze,omitempty"`
	// Slow multiplies every duration; zero and one mean full speed.
	Slow float64 `json:"slow,omitempty"`
	// Refuse answers every new call with 503.
	Refuse bool `json:"refuse,omitempty"`
	// LoadLag is added to the age of load reports.
	LoadLag manifest.Duration `json:"loadLag,omitempty"`
}

// State is the present misbehaviour of one stand-in. It is safe for
// concurrent use.
type State struct {
	mu        sync.Mutex
	faults    Faults
	down      bool
	downUntil time.Time
	life      context.Context
	kill      context.CancelFunc
	frozen    chan struct{}
	credSeen  bool
	onCrash   func()
}

// NewState returns a healthy state. onCrash is called on each crash.
func NewState(onCrash func()) *State {
	s := &State{onCrash: onCrash, frozen: make(chan struct{})}
	s.life, s.kill = context.WithCancel(context.Background())
	return s
}

// ServeFaults handles POST /control/faults.
func (s *State) ServeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// Set applies faults.
func (s *State) Set(f Faults) {
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

// Crash drops all running calls and takes none for a while; zero means until
// a restart is asked for.
func (s *State) Crash(length time.Duration) {
	s.mu.Lock()
	s.kill()
	s.life, s.kill = context.WithCancel(context.Background())
	s.down = true
	s.downUntil = time.Time{}
	if length > 0 {
		s.downUntil = time.Now().Add(length)
	}
	s.mu.Unlock()
	s.onCrash()
}

// Down reports whether the stand-in is crashed.
func (s *State) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !s.downUntil.IsZero() && time.Now().After(s.downUntil) {
		s.down = false
	}
	return s.down
}

// Stretch applies the present slowness to a duration.
func (s *State) Stretch(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow > 0 {
		return time.Duration(float64(d) * s.faults.Slow)
	}
	return d
}

// LoadLag returns the lag to add to load reports.
func (s *State) LoadLag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LoadLag.D()
}

// Life returns a context that ends at the next crash.
func (s *State) Life() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// Frozen returns a channel that is closed when the calls running now are to
// fall silent.
func (s *State) Frozen() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

// CredentialSeen reports whether any call carried a caller's credential.
func (s *State) CredentialSeen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.credSeen
}

// Wrap returns next under the present faults. Calls below /control/ are
// always served.
func (s *State) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/control/") {
			next.ServeHTTP(w, r)
			return
		}
		s.noteCredential(r)
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

// serve runs a call that a crash ends.
func (s *State) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	life := s.Life()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	next.ServeHTTP(w, r.WithContext(ctx))
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *State) refusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Refuse
}

func (s *State) noteCredential(r *http.Request) {
	if r.Header.Get("Authorization") == "" && r.Header.Get("Api-Key") == "" && r.Header.Get("X-Api-Key") == "" {
		return
	}
	s.mu.Lock()
	s.credSeen = true
	s.mu.Unlock()
}

// Sleep waits for d, stretched by the present slowness, or until the context
// ends. It reports whether the whole time passed.
func (s *State) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(s.Stretch(d))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
