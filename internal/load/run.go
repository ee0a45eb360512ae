package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Options set where a workload goes.
type Options struct {
	// Servers are base URLs of entries, which requests go to in turn.
	Servers []string
	// MaxInFlight bounds the requests under way; beyond it requests count as
	// not sent.
	MaxInFlight int
	// Timeout bounds one request.
	Timeout time.Duration
	// Transport carries the requests.
	Transport http.RoundTripper
	// Progress is called about once a second.
	Progress func(at time.Duration, s Summary)
}

// Run sends a workload and returns its result. It ends early, with what was
// measured, when the context ends.
func Run(ctx context.Context, w *Workload, o Options) (*Result, error) {
	r, err := newRunner(w, o)
	if err != nil {
		return nil, err
	}
	r.run(ctx, Schedule(w))
	return r.recorder.result(), nil
}

type runner struct {
	caller   *caller
	options  Options
	recorder *recorder
	slots    chan struct{}
	calls    sync.WaitGroup
}

func newRunner(w *Workload, o Options) (*runner, error) {
	keys := make(map[string]string)
	for _, s := range w.Streams {
		key, err := w.key(s.Account)
		if err != nil {
			return nil, err
		}
		keys[s.Account] = key
	}
	return &runner{
		caller:   &caller{http: &http.Client{Transport: o.Transport}, servers: o.Servers, keys: keys, verify: w.Verify == verifyStandin},
		options:  o,
		recorder: newRecorder(w),
		slots:    make(chan struct{}, o.MaxInFlight),
	}, nil
}

func (r *runner) run(ctx context.Context, requests []Request) {
	start := time.Now()
	stop := r.reportProgress(start)
	defer stop()
	for i := range requests {
		if !sleepUntil(ctx, start.Add(requests[i].At)) {
			break
		}
		r.launch(ctx, start, i, &requests[i])
	}
	r.calls.Wait()
}

func (r *runner) launch(ctx context.Context, start time.Time, n int, req *Request) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.add(req, start.Add(req.At), answer{outcome: OutcomeNotSent}, time.Now())
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
		defer cancel()
		a := r.caller.do(ctx, n, req)
		r.recorder.add(req, start.Add(req.At), a, time.Now())
	})
}

// reportProgress calls the progress function until the returned function is
// called.
func (r *runner) reportProgress(start time.Time) func() {
	if r.options.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				r.options.Progress(now.Sub(start), r.recorder.summary())
			}
		}
	})
	return func() {
		ticker.Stop()
		close(done)
		wg.Wait()
	}
}

// sleepUntil reports false when the context ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
