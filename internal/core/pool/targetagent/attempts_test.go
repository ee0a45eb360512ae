package targetagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestTargetRunsOneSuspectAtATime(t *testing.T) {
	is := is.New(t)
	s := newSide(time.Second)
	suspect := func(id msg.AttemptID) {
		s.step(msg.AttemptOffered{From: "e1", Spec: msg.AttemptSpec{Attempt: id, Suspect: true}})
	}
	suspect("a1")
	is.Equal(count[msg.RunAttempt](s), 1)
	suspect("a2")
	is.Equal(last[msg.RefuseAttempt](s).Code, CodeSuspect)
	s.offer("a3", 1, true)
	is.Equal(count[msg.RunAttempt](s), 2) // other attempts run at the same time
	s.step(msg.SideAttemptEnded{Attempt: "a1"})
	suspect("a4")
	is.Equal(count[msg.RunAttempt](s), 3)
}
