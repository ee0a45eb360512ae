package daemon

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/platform"
)

// listener is a reducer that keeps the ends of attempts.
type listener struct {
	mu   sync.Mutex
	ends []msg.DirectAttemptEnded
}

// Step implements the loop's reducer.
func (l *listener) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	if e, ok := ev.(msg.DirectAttemptEnded); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ends = append(l.ends, e)
	}
	return nil
}

func (l *listener) await(t *testing.T, id msg.AttemptID) msg.DirectAttemptEnded {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		for _, e := range l.ends {
			if e.Attempt == id {
				l.mu.Unlock()
				return e
			}
		}
		l.mu.Unlock()
	}
	t.Fatalf("attempt %s has no end", id)
	return msg.DirectAttemptEnded{}
}

func newTestFront(t *testing.T) (*directFront, *listener) {
	l := &listener{}
	f := &directFront{
		log: slog.New(slog.DiscardHandler), ctx: t.Context(),
		exchanges: make(map[msg.RequestID]*directExchange), attempts: make(map[msg.AttemptID]context.CancelFunc),
	}
	f.loop = NewLoop(l, f.execute)
	go f.loop.Run(t.Context(), msg.Started{})
	return f, l
}

// A caller may leave as the next attempt of its request is handed over. Each
// attempt has an end, or its target would count it for good.
func TestAttemptOfALeavingCallerHasAnEnd(t *testing.T) {
	is := is.New(t)
	f, l := newTestFront(t)
	x := f.open(t.Context(), &platform.CallerRequest{}, httptest.NewRecorder())
	f.execute(0, msg.StartDirectAttempt{Req: x.id, Attempt: "handed-over"})
	f.close(x)
	is.Equal(l.await(t, "handed-over").Result, msg.DirectCancelled)
	f.execute(0, msg.StartDirectAttempt{Req: x.id, Attempt: "too-late"})
	is.Equal(l.await(t, "too-late").Result, msg.DirectCancelled)
	is.Equal(len(f.attempts), 0)
}

// An attempt that is stopped before its exchange has taken it up does not run.
func TestAttemptStoppedBeforeItBegan(t *testing.T) {
	is := is.New(t)
	f, l := newTestFront(t)
	x := f.open(t.Context(), &platform.CallerRequest{}, httptest.NewRecorder())
	f.execute(0, msg.StartDirectAttempt{Req: x.id, Attempt: "a", Spec: msg.DirectAttemptSpec{Deadline: time.Hour}})
	f.execute(0, msg.CancelAttempt{Attempt: "a"})
	is.True(!x.carryOut(<-x.commands))
	is.Equal(l.await(t, "a").Result, msg.DirectCancelled)
}
