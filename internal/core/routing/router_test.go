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
		r.Report(0, engineReport(msg.TargetID(fmt.Sprintf("t%03d", i)), nil))
	}
	return r
}

func newRequest() *Request {
	return &Request{Pool: "p", Model: "m", PromptTokens: 2100, OutputTokens: 100, Prefix: []msg.BlockHash{1}}
}

func TestFilterTakesNoUnfitTarget(t *testing.T) {
	cases := map[string]func(*msg.TargetReported){
		"draining":    func(ev *msg.TargetReported) { ev.Report.Phase = msg.PhaseDraining },
		"other model": func(ev *msg.TargetReported) { ev.Report.Models[0].Model = "x" },
		"old report":  func(ev *msg.TargetReported) { ev.Age = reportLimit + time.Second },
		"full batch":  func(ev *msg.TargetReported) { ev.Report.Running = 32 },
		"full cache":  func(ev *msg.TargetReported) { ev.Report.KVUsed = 399_000 },
		"slow steps":  func(ev *msg.TargetReported) { ev.Report.StepTime = time.Second },
		"backlog":     func(ev *msg.TargetReported) { ev.Report.PrefillTokens = 10_000 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(1, 0)
			r.Report(20*time.Second, engineReport("t", change))
			_, ok := r.Pick(20*time.Second, newRequest())
			is.True(!ok)
			r.Report(20*time.Second, engineReport("u", nil))
			d, ok := r.Pick(20*time.Second, newRequest())
			is.True(ok)
			is.Equal(d.Target, msg.TargetID("u"))
		})
	}
}

func TestLeavingAndLostTargetsTakeNothing(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 2)
	r.Members(0, msg.MembersChanged{Leaving: []msg.HostID{"h-t000"}})
	r.Lost("t001")
	_, ok := r.Pick(0, newRequest())
	is.True(!ok)
	r.Report(time.Second, engineReport("t000", nil)) // a late report does not bring it back
	_, ok = r.Pick(time.Second, newRequest())
	is.True(!ok)
}

func TestHolderOfPrefixIsChosenUnlessItIsBusy(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 20)
	r.CacheReported(msg.CacheReported{Target: "t007", Events: []msg.CacheEvent{{Seq: 1, Blocks: []msg.BlockHash{1}}}})
	d, _ := r.Pick(0, newRequest())
	is.Equal(d.Target, msg.TargetID("t007"))
	is.Equal(d.Expected, PieceTokens)
	is.Equal(d.Reason, ReasonHit)
	r.Report(0, engineReport("t007", func(ev *msg.TargetReported) { ev.Report.PrefillTokens = 9000 }))
	d, _ = r.Pick(0, newRequest())
	is.True(d.Target != "t007")
}

// Old reports shrink by the work that the engine has done since.
func TestBacklogAges(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 0)
	r.Report(0, engineReport("t", func(ev *msg.TargetReported) { ev.Report.PrefillTokens = 8000 }))
	_, ok := r.Pick(0, newRequest())
	is.True(!ok)
	_, ok = r.Pick(time.Second, newRequest())
	is.True(ok)
}

// A report that was read before an own attempt began does not hide it.
func TestOwnWorkIsAddedToLateReports(t *testing.T) {
	is := is.New(t)
	r := newRouter(1, 1)
	req := newRequest()
	d, _ := r.Pick(time.Second, req)
	r.Begin(time.Second, "a", d, req)
	late := engineReport("t000", func(ev *msg.TargetReported) { ev.Age = 200 * time.Millisecond })
	r.Report(time.Second+100*time.Millisecond, late)
	is.Equal(r.targets["t000"].batch(), 5)
	is.True(r.targets["t000"].backlog > 1000)
	r.End(time.Second+100*time.Millisecond, "a", msg.TokenUsage{})
	is.Equal(r.targets["t000"].batch(), 4)
}

// Entries that read the same reports spread their choices.
func TestEntriesDoNotHerd(t *testing.T) {
	is := is.New(t)
	chosen := make(map[msg.TargetID]int)
	for seed := range uint64(100) {
		r := newRouter(seed, 50)
		r.Report(0, engineReport("t010", func(ev *msg.TargetReported) { ev.Report.Running = 0 }))
		d, ok := r.Pick(0, &Request{Pool: "p", Model: "m", PromptTokens: 100})
		is.True(ok)
		chosen[d.Target]++
	}
	is.True(chosen["t010"] < 25)
	is.True(len(chosen) > 25)
}

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

func BenchmarkPickFull600(b *testing.B) {
	r := New(Config{})
	for i := range 600 {
		r.Report(0, engineReport(msg.TargetID(fmt.Sprintf("t%03d", i)), func(ev *msg.TargetReported) { ev.Report.Running = 32 }))
	}
	req := newRequest()
	b.ReportAllocs()
	for b.Loop() {
		r.Pick(0, req)
	}
}
