package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/httpclient"
)

// Options configures a load run.
type Options struct {
	// Servers are the base URLs of entry daemons. Requests are sent to them in
	// turn.
	Servers []string
	// MaxInFlight is the largest number of requests in flight. A request that
	// would exceed it is not sent; its outcome is OutcomeNotSent.
	MaxInFlight int
	// Timeout is the longest duration of one request.
	Timeout time.Duration
	// Transport sends the requests.
	Transport http.RoundTripper
	// Progress is called about once a second with the time since the start. It
	// may be nil.
	Progress func(at time.Duration, s Summary)
}

// Run sends the requests of a workload and returns the result. If the context
// ends, it stops early and returns the result up to then.
func Run(ctx context.Context, w *Workload, o Options) (*Result, error) {
	r, err := newRunner(w, o)
	if err != nil {
		return nil, err
	}
	r.run(ctx, Schedule(w))
	return r.recorder.result(), nil
}

type runner struct {
	client   *client
	options  Options
	recorder *recorder
	// slots holds one element for each request in flight.
	slots    chan struct{}
	inFlight sync.WaitGroup
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
		client:   &client{http: &http.Client{Transport: &httpclient.CheckedTransport{Base: o.Transport}}, servers: o.Servers, keys: keys, verify: w.Verify == verifyStandin},
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
	r.inFlight.Wait()
}

// launch starts the n-th request, or records it as not sent if too many requests
// are in flight.
func (r *runner) launch(ctx context.Context, start time.Time, n int, req *Request) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.add(req, start.Add(req.At), response{outcome: OutcomeNotSent}, time.Now())
		return
	}
	r.inFlight.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
		defer cancel()
		res := r.client.do(ctx, n, req)
		r.recorder.add(req, start.Add(req.At), res, time.Now())
	})
}

// reportProgress calls the progress function every second until the function that
// it returns is called.
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

// sleepUntil waits until the time t. It returns false if the context ends first.
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
