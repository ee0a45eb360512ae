package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/platform"
	standin "github.com/verbenaspur/verbenaspur/internal/standin/platform"
)

func clockAtZero() msg.Time { return 0 }

func newClient(t *testing.T, url string) *platform.Client {
	t.Helper()
	c := platform.New(platform.Config{Objects: url, Targets: url, Usage: url, Hosts: url})
	t.Cleanup(c.Close)
	return c
}

func newClientAndServer(t *testing.T) (*platform.Client, *standin.Server) {
	t.Helper()
	s := standin.New()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return newClient(t, srv.URL), s
}

func do[T msg.Event](t *testing.T, c *platform.Client, eff msg.Effect) T {
	t.Helper()
	ev, ok := c.Do(t.Context(), eff, clockAtZero).(T)
	if !ok {
		t.Fatalf("%T has a result of another type", eff)
	}
	return ev
}

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	c, _ := newClientAndServer(t)
	put := msg.PutObject{Call: 1, Kind: msg.KindLease, Name: "pool/a b", Value: []byte("one")}
	first := do[msg.PutDone](t, c, put)
	is.Equal(first.Status, msg.CallOK)
	is.Equal(do[msg.PutDone](t, c, put).Status, msg.CallConflict)

	got := do[msg.GetDone](t, c, msg.GetObject{Kind: msg.KindLease, Name: "pool/a b"})
	is.Equal(got.Object, msg.Object{Kind: msg.KindLease, Name: "pool/a b", Version: first.Version, Value: []byte("one")})
	is.Equal(do[msg.GetDone](t, c, msg.GetObject{Kind: msg.KindLease, Name: "pool"}).Status, msg.CallNotFound)
	is.Equal(do[msg.PutDone](t, c, msg.DeleteObject{Kind: msg.KindLease, Name: "pool/a b", IfVersion: first.Version + 1}).Status, msg.CallConflict)
	is.Equal(do[msg.PutDone](t, c, msg.DeleteObject{Kind: msg.KindLease, Name: "pool/a b", IfVersion: first.Version}).Status, msg.CallOK)

	put.Value = make([]byte, 1<<20+1)
	is.Equal(do[msg.PutDone](t, c, put).Status, msg.CallRejected)
}

func TestWatchReportsChangesAndRemovals(t *testing.T) {
	is := is.New(t)
	c, _ := newClientAndServer(t)
	put := do[msg.PutDone](t, c, msg.PutObject{Kind: msg.KindLease, Name: "a", Value: []byte("1")})
	list := do[msg.ListDone](t, c, msg.ListObjects{Kind: msg.KindLease, Prefix: "a"})
	is.Equal(len(list.Objects), 1)

	unchanged := do[msg.WatchDone](t, c, msg.WatchObjects{Kind: msg.KindLease, Since: list.Revision, Wait: time.Millisecond})
	is.Equal(unchanged.Status, msg.CallOK)
	is.Equal(len(unchanged.Objects), 0)

	result := make(chan msg.Event)
	go func() {
		result <- c.Do(context.Background(), msg.WatchObjects{Kind: msg.KindLease, Since: list.Revision, Wait: time.Minute}, clockAtZero)
	}()
	do[msg.PutDone](t, c, msg.DeleteObject{Kind: msg.KindLease, Name: "a", IfVersion: put.Version})
	done := (<-result).(msg.WatchDone)
	is.Equal(len(done.Objects), 1)
	is.True(done.Objects[0].Deleted)
	is.Equal(do[msg.WatchDone](t, c, msg.WatchObjects{Kind: msg.KindLease, Since: done.Revision + 9}).Status, msg.CallRejected)
}

func TestFaultsMapToCallStatus(t *testing.T) {
	is := is.New(t)
	c, s := newClientAndServer(t)
	put := msg.PutObject{Kind: msg.KindLease, Name: "a", Value: []byte("1")}
	get := msg.GetObject{Kind: msg.KindLease, Name: "a"}

	s.SetFaults(standin.Faults{Down: true})
	is.Equal(do[msg.PutDone](t, c, put).Status, msg.CallUnavailable)
	s.SetFaults(standin.Faults{WritesPerSecond: 1e-9})
	is.Equal(do[msg.PutDone](t, c, put).Status, msg.CallOK) // the burst of one
	is.Equal(do[msg.PutDone](t, c, put).Status, msg.CallUnavailable)

	s.SetFaults(standin.Faults{LoseNextWrites: 1})
	put.Name = "b"
	is.Equal(do[msg.PutDone](t, c, put).Status, msg.CallUnknown)
	get.Name = "b"
	is.Equal(do[msg.GetDone](t, c, get).Status, msg.CallOK) // the write had taken effect
	is.Equal(s.Counts().Lost, 1)
}

func TestStatusOfErrorResponses(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		put     msg.CallStatus
		get     msg.CallStatus
	}{
		{"gateway timeout", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(504) }, msg.CallUnknown, msg.CallUnavailable},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, msg.CallUnknown, msg.CallUnavailable},
		{"request timeout", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(408) }, msg.CallUnknown, msg.CallUnavailable},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, msg.CallUnknown, msg.CallUnavailable},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, msg.CallUnknown, msg.CallUnavailable},
		{"no permission", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(403) }, msg.CallRejected, msg.CallRejected},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(tc.handler)
			defer srv.Close()
			c := newClient(t, srv.URL)
			is.Equal(do[msg.PutDone](t, c, msg.PutObject{Kind: "k", Name: "a"}).Status, tc.put)
			is.Equal(do[msg.GetDone](t, c, msg.GetObject{Kind: "k", Name: "a"}).Status, tc.get)
		})
	}
}

func TestRefusedConnectionHasNoEffect(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	is.Equal(do[msg.PutDone](t, newClient(t, "http://"+addr), msg.PutObject{Kind: "k", Name: "a"}).Status, msg.CallUnavailable)
}

// The deadline passes only after the connection has been established, as happens
// if the process is paused between dialling and writing.
func TestDeadlineIsCheckedBeforeTheLastBytes(t *testing.T) {
	for _, size := range []int{0, 300_000} {
		is := is.New(t)
		var arrived atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			_, _ = w.Write([]byte("{}"))
		}))
		defer srv.Close()
		c := newClient(t, srv.URL)
		put := msg.PutObject{Kind: "k", Name: "a", NotAfter: 2, Value: []byte(strings.Repeat("x", size))}
		is.Equal(c.Do(t.Context(), put, func() msg.Time { return 1 }).(msg.PutDone).Status, msg.CallOK)
		is.Equal(arrived.Load(), int32(1))
		late := func() msg.Time { return 2 }
		for range 2 { // on a reused connection, then on a new one
			is.Equal(c.Do(t.Context(), put, late).(msg.PutDone).Status, msg.CallUnavailable)
			release := msg.ReleaseTarget{Target: "t", NotAfter: 2}
			is.Equal(c.Do(t.Context(), release, late).(msg.TargetProvisionDone).Status, msg.CallUnavailable)
		}
		is.Equal(arrived.Load(), int32(1))
	}
}

func TestDeadlineBetweenTwoWritesLeavesTheRequestIncomplete(t *testing.T) {
	is := is.New(t)
	complete := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := make([]byte, 1<<20)
		n := 0
		for {
			m, err := r.Body.Read(b)
			n += m
			if err != nil {
				complete = int64(n) == r.ContentLength
				return
			}
		}
	}))
	c := newClient(t, srv.URL)
	var reads msg.Time
	clock := func() msg.Time { reads++; return reads }
	put := msg.PutObject{Kind: "k", Name: "a", NotAfter: 3, Value: make([]byte, 300_000)}
	is.Equal(c.Do(t.Context(), put, clock).(msg.PutDone).Status, msg.CallUnavailable)
	srv.Close() // waits until the handler has returned
	is.True(!complete)
}

func TestFleetAndUsageInterfaces(t *testing.T) {
	is := is.New(t)
	c, s := newClientAndServer(t)
	s.SetHosts([]standin.Host{{Host: "h1", Addr: "127.0.0.2", FailureDomain: "a", Region: "r", Kind: "target", State: "leaving"}})
	hosts := do[msg.HostsListed](t, c, msg.ListHosts{Call: 3})
	is.Equal(hosts.Hosts, []msg.Host{{Host: "h1", Addr: "127.0.0.2", Domain: "a", Region: "r", Kind: msg.HostTarget, State: msg.HostLeaving}})

	order := msg.ProvisionTarget{Pool: "p", Domain: "a", Token: "t1", Epoch: 5}
	first := do[msg.TargetProvisionDone](t, c, order)
	is.Equal(do[msg.TargetProvisionDone](t, c, order).Target, first.Target)
	order.Epoch = 4
	is.Equal(do[msg.TargetProvisionDone](t, c, order).Status, msg.CallConflict)
	is.Equal(len(do[msg.TargetsListed](t, c, msg.ListTargets{Pool: "p"}).Targets), 1)
	is.Equal(do[msg.TargetProvisionDone](t, c, msg.ReleaseTarget{Target: first.Target, Epoch: 5}).Status, msg.CallOK)
	order.Epoch = 5
	is.Equal(do[msg.TargetProvisionDone](t, c, order).Status, msg.CallRejected) // The token's target was released.

	report := msg.ReportUsage{Report: msg.UsageReport{Account: "north", Window: time.Unix(0, 0), Length: time.Minute, Requests: 1}}
	is.Equal(do[msg.UsageReported](t, c, report).Status, msg.CallOK)
	is.Equal(do[msg.UsageReported](t, c, report).Status, msg.CallOK)
	report.Report.Requests = 2
	is.Equal(do[msg.UsageReported](t, c, report).Status, msg.CallConflict)
	is.Equal(s.Usage()[0].Window, "1970-01-01T00:00:00Z")
}

func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	s := standin.New()
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		s.ServeHTTP(rec, r)
		sent.Add(int64(rec.Body.Len()))
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	c := newClient(t, srv.URL)
	hosts := func() []msg.Host { return do[msg.HostsListed](t, c, msg.ListHosts{}).Hosts }
	s.SetHosts([]standin.Host{{Host: "h1"}})
	first := hosts()
	once := sent.Load()
	is.Equal(hosts(), first)
	is.Equal(sent.Load(), once)
	s.SetHosts([]standin.Host{{Host: "h1"}, {Host: "h2"}})
	is.Equal(len(hosts()), 2)
}

func TestCallsAreCounted(t *testing.T) {
	is := is.New(t)
	c, _ := newClientAndServer(t)
	do[msg.GetDone](t, c, msg.GetObject{Kind: "k", Name: "a"})
	reg := prometheus.NewPedanticRegistry()
	is.NoErr(reg.Register(c))
	families, err := reg.Gather()
	is.NoErr(err)
	is.Equal(families[1].GetName(), "verbenaspur_platform_calls_total")
	is.Equal(families[1].GetMetric()[0].GetCounter().GetValue(), 1.0)
}
