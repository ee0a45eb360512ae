package daemon

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/platform"
)

// probeTimeout limits the duration of a probe.
const probeTimeout = 500 * time.Millisecond

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

// answers reports whether the target of an attempt answers a probe.
func (d *directDriver) answers(ctx context.Context, eff *msg.StartDirectAttempt) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result, _, err := d.probeOnce(ctx, msg.ProbeTarget{Target: eff.Spec.Target, Addr: eff.Spec.Addr})
	return err == nil && result == msg.ProbeUp
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
