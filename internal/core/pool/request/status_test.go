package request

import (
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestStatusCountsOpenRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1", "t2")
	f.step(msg.TargetUnreachable{Target: "t2"})
	f.arriveChat("r1")
	f.arriveOrder("r2", "key") // waits for its claim
	s := f.Status(f.now)
	is.Equal(s.Open, 2)
	is.Equal(s.Running, 1)
	is.Equal(s.Pools, []PoolStatus{{Pool: "engines", Targets: 2, Serving: 1}})
}

// A stopping entry finishes its open requests and refuses new ones.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1")
	f.arriveChat("r1")
	start := find[msg.StartAttempt](t, f)
	f.step(msg.StopRequested{})
	is.Equal(len(f.effects), 0)
	f.arriveChat("r2")
	is.Equal(Code(find[msg.RefuseRequest](t, f).Code), CodeStopping)
	is.True(!f.Idle())
	f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptMoved}) // its target is stopping too
	is.True(!f.Idle())
	f.report("t9", "engines", msg.TargetEngine)
	again := find[msg.StartAttempt](t, f)
	is.Equal(again.Target, msg.TargetID("t9"))
	f.step(msg.AttemptEnded{Attempt: again.Attempt, Result: msg.AttemptDone})
	is.Equal(find[msg.FinishRequest](t, f).Req, msg.RequestID("r1"))
	is.True(f.Idle())
}

func TestExplainReturnsTheDecisions(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1", "t2")
	f.arriveChat("r1")
	start := find[msg.StartAttempt](t, f)
	x, ok := f.Explain("r1")
	is.True(ok)
	is.Equal(len(x.Decisions), 1)
	is.Equal(x.Decisions[0].Target, start.Target)
	is.True(len(x.Decisions[0].Considered) > 0)
	for i := range maxExplained {
		f.step(msg.RequestArrived{Req: msg.RequestID(rune(i + 1000)), Model: "chat"}) // refused, because it has no key
	}
	_, ok = f.Explain("r1")
	is.True(!ok) // later requests have taken its place
}
