package daemon

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// probeTimeout limits the duration of a probe.
	probeTimeout = 500 * time.Millisecond
	// maxReportBytes limits what is read of a target's report.
	maxReportBytes = 1 << 20
)

// probe probes a target and reports the result. A kept connection on which no
// response arrives may have ended with an earlier process, so that a second request
// follows on a new connection.
func (d *directDriver) probe(eff msg.ProbeTarget) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	result, load, err := d.probeOnce(ctx, eff)
	if err != nil && !eff.Once && !errors.Is(err, httpclient.ErrNotSent) {
		d.pool.CloseIdle(eff.Addr)
		result, load, err = d.probeOnce(ctx, eff)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		result = msg.ProbeDown
	}
	d.loop.Post(msg.TargetProbed{Call: eff.Call, Target: eff.Target, Result: result, Load: load})
}

// answers reports whether the process of a target to which an attempt was sent answers. A
// model runner says which of its processes does, and any response of another target counts:
// a process that is started again takes longer than a question.
func (d *directDriver) answers(ctx context.Context, spec *msg.DirectAttemptSpec) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	process, err := d.askProcess(ctx, spec)
	if err != nil && !errors.Is(err, httpclient.ErrNotSent) {
		// The connection may have ended with an earlier process.
		d.pool.CloseIdle(spec.Addr)
		process, err = d.askProcess(ctx, spec)
	}
	return err == nil && (spec.Process == 0 || process == spec.Process)
}

// errOtherTarget means that another target is at the address.
var errOtherTarget = errors.New("another target is at the address")

// askProcess asks a target which process it is, as its start time, or 0 if it does not say.
func (d *directDriver) askProcess(ctx context.Context, spec *msg.DirectAttemptSpec) (int64, error) {
	resp, err := d.pool.Do(ctx, spec.Addr, platform.ProbeRequest(msg.ProbeTarget{Target: spec.Target, Addr: spec.Addr}))
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	resp.Close(err == nil)
	if result, _ := platform.ReadProbe(resp); result != msg.ProbeUp {
		return 0, errOtherTarget
	}
	return platform.ReportedProcess(body), err
}

func (d *directDriver) probeOnce(ctx context.Context, eff msg.ProbeTarget) (msg.ProbeResult, *msg.TargetLoad, error) {
	resp, err := d.pool.Do(ctx, eff.Addr, platform.ProbeRequest(eff))
	if err != nil {
		return msg.ProbeUnknown, nil, err
	}
	result, load := platform.ReadProbe(resp)
	resp.Discard()
	return result, load, nil
}
