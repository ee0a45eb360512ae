package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func engineReport(id msg.TargetID, change func(*msg.TargetReported)) msg.TargetReported {
	ev := msg.TargetReported{
		Target: msg.TargetIdentity{Target: id, Pool: "p", Kind: msg.TargetEngine},
		Host:   msg.HostID("h-" + id), Domain: "d1",
		Report: msg.LoadReport{
			Models: []msg.LoadedModel{{Model: "m"}}, KVTotal: 400_000, MaxBatch: 32,
			PrefillRate: 10_000, StepTime: 20 * time.Millisecond, Running: 4,
		},
	}
	if change != nil {
		change(&ev)
	}
	return ev
}

func newRouter(seed uint64, n int) *Router {
	r := New(Config{})
	r.Start(msg.Started{Self: msg.Self{Domain: "d1"}, Seed: seed})
	for i := range n {
		r.ApplyReport(0, engineReport(msg.TargetID(fmt.Sprintf("t%03d", i)), nil))
	}
	return r
}

func newRequest() *Request {
	return &Request{Pool: "p", Model: "m", PromptTokens: 2100, OutputTokens: 100, Prefix: []msg.BlockHash{1}}
}

func TestUnfitTargetIsNotSelected(t *testing.T) {
	cases := map[string]func(*msg.TargetReported){
		"draining":    func(ev *msg.TargetReported) { ev.Report.Phase = msg.PhaseDraining },
		"other model": func(ev *msg.TargetReported) { ev.Report.Models[0].Model = "x" },
		"old report":  func(ev *msg.TargetReported) { ev.Age = maxReportAge + time.Second },
		"full batch":  func(ev *msg.TargetReported) { ev.Report.Running = 32 },
		"full cache":  func(ev *msg.TargetReported) { ev.Report.KVUsed = 399_000 },
		"slow steps":  func(ev *msg.TargetReported) { ev.Report.StepTime = time.Second },
		"backlog":     func(ev *msg.TargetReported) { ev.Report.PrefillTokens = 10_000 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(1, 0)
			r.ApplyReport(20*time.Second, engineReport("t", change))
			_, ok := r.Pick(20*time.Second, newRequest())
			is.True(!ok)
			r.ApplyReport(20*time.Second, engineReport("u", nil))
			d, ok := r.Pick(20*time.Second, newRequest())
			is.True(ok)
			is.Equal(d.Target, msg.TargetID("u"))
		})
	}
}

func TestLeavingAndUnreachableTargetsAreNotSelected(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 2)
	r.UpdateMembers(0, msg.MembersChanged{Leaving: []msg.HostID{"h-t000"}})
	r.MarkUnreachable("t001")
	_, ok := r.Pick(0, newRequest())
	is.True(!ok)
	r.ApplyReport(time.Second, engineReport("t000", nil)) // a report from a leaving host changes nothing
	_, ok = r.Pick(time.Second, newRequest())
	is.True(!ok)
}

func TestPrefixHolderIsSelectedUnlessBusy(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 20)
	r.ApplyCacheEvents(msg.CacheReported{Target: "t007", Events: []msg.CacheEvent{{Seq: 1, Blocks: []msg.BlockHash{1}}}})
	d, _ := r.Pick(0, newRequest())
	is.Equal(d.Target, msg.TargetID("t007"))
	is.Equal(d.Expected, BlockTokens)
	is.Equal(d.Reason, ReasonCacheHit)
	r.ApplyReport(0, engineReport("t007", func(ev *msg.TargetReported) { ev.Report.PrefillTokens = 9000 }))
	d, _ = r.Pick(0, newRequest())
	is.True(d.Target != "t007")
}

// The reported backlog shrinks by the work that the engine has done since the
// report.
func TestBacklogShrinksWithTime(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 0)
	r.ApplyReport(0, engineReport("t", func(ev *msg.TargetReported) { ev.Report.PrefillTokens = 8000 }))
	_, ok := r.Pick(0, newRequest())
	is.True(!ok)
	_, ok = r.Pick(time.Second, newRequest())
	is.True(ok)
}

// A delayed report was read before this entry started an attempt. The load of
// the attempt must still count on top of the report.
func TestDelayedReportKeepsLaterAttempts(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 1)
	req := newRequest()
	d, _ := r.Pick(time.Second, req)
	r.BeginAttempt(time.Second, "a", d, req)
	delayed := engineReport("t000", func(ev *msg.TargetReported) { ev.Age = 200 * time.Millisecond })
	r.ApplyReport(time.Second+100*time.Millisecond, delayed)
	is.Equal(r.targets["t000"].batch(), 5)
	is.True(r.targets["t000"].backlog > 1000)
	r.EndAttempt(time.Second+100*time.Millisecond, "a", msg.TokenUsage{})
	is.Equal(r.targets["t000"].batch(), 4)
}

// Entries that have the same load reports must not all select the same target.
func TestEntriesSpreadTheirSelections(t *testing.T) {
	is := is.New(t)
	selected := make(map[msg.TargetID]int)
	for seed := range uint64(100) {
		r := newRouter(seed, 50)
		r.ApplyReport(0, engineReport("t010", func(ev *msg.TargetReported) { ev.Report.Running = 0 }))
		d, ok := r.Pick(0, &Request{Pool: "p", Model: "m", PromptTokens: 100})
		is.True(ok)
		selected[d.Target]++
	}
	is.True(selected["t010"] < 25)
	is.True(len(selected) > 25)
}

// BenchmarkPick600 measures a decision among 600 targets with capacity.
func BenchmarkPick600(b *testing.B) {
	r := newRouter(1, 600)
	req := newRequest()
	req.Prefix = []msg.BlockHash{1, 2, 3, 4}
	for i := range 16 {
		r.cache.RecordSent(msg.TargetID(fmt.Sprintf("t%03d", i)), req.Prefix)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Pick(0, req)
	}
}

// BenchmarkPickFull600 measures a decision among 600 targets with full batches,
// for which the router compares all targets.
func BenchmarkPickFull600(b *testing.B) {
	r := New(Config{})
	for i := range 600 {
		r.ApplyReport(0, engineReport(msg.TargetID(fmt.Sprintf("t%03d", i)), func(ev *msg.TargetReported) { ev.Report.Running = 32 }))
	}
	req := newRequest()
	b.ReportAllocs()
	for b.Loop() {
		r.Pick(0, req)
	}
}
