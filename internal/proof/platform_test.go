package proof

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// perform performs an effect in the driver of the process.
func (p *proc) perform(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.GetObject, msg.ListObjects, msg.PutObject, msg.DeleteObject:
		p.callStore(eff)
	case msg.WatchObjects:
		p.watch(eff, p.s.now+eff.Wait)
	case msg.ListHosts:
		p.listHosts(eff)
	case msg.SendPeer:
		p.sendPeer(eff)
	case msg.Connect:
		p.peers[eff.Host] = true
	case msg.SetHostAddr:
	case msg.Disconnect:
		delete(p.peers, eff.Host)
	case msg.ReportUsage:
		p.reportUsage(eff)
	case msg.AnswerConfigProposal:
		p.s.oracle.configAnswered(p, eff)
	case msg.StopCompleted:
		p.s.stopWhenDrained(p)
	default:
		p.performRequestEffect(eff)
	}
}

// writeDeadline returns the time after which the process must not make a call,
// or 0 if it has none.
func writeDeadline(eff msg.Effect) msg.Time {
	if put, ok := eff.(msg.PutObject); ok {
		return put.NotAfter
	}
	return 0
}

// callStore sends a call to the object API. The call may fail without an effect,
// or its response may be lost after it has taken effect.
func (p *proc) callStore(eff msg.Effect) {
	if deadline := writeDeadline(eff); deadline != 0 && p.now() >= deadline && !p.s.mutations.ignoreNotAfter {
		p.postFailed(eff, msg.CallUnavailable)
		return
	}
	s := p.s
	switch {
	case s.store == storeUnavailable:
		p.runLocalAfter(s.messageDelay(), func() { p.postFailed(eff, msg.CallUnavailable) })
		return
	case s.store == storeUnresponsive, !s.reachable(p.self.Host, platform):
		p.runLocalAfter(callTimeout, func() { p.postUnanswered(eff) })
		return
	}
	s.after(s.messageDelay()+s.storeDelay, func() {
		ev, _ := s.objects.Do(eff)
		s.oracle.storeCalled(eff, ev)
		if s.chance(s.answerLossRate) || !s.reachable(platform, p.self.Host) {
			p.runLocalAfter(callTimeout-100*time.Millisecond, func() { p.postFailed(eff, msg.CallUnknown) })
			return
		}
		p.runLocalAfter(s.messageDelay(), func() { p.step(ev) })
	})
}

// postUnanswered reports a call that had no effect and timed out.
func (p *proc) postUnanswered(eff msg.Effect) {
	if put, ok := eff.(msg.PutObject); ok && p.s.mutations.unansweredIsDone {
		p.step(msg.PutDone{Call: put.Call, Version: put.IfVersion + 1})
		return
	}
	p.postFailed(eff, msg.CallUnknown)
}

// postFailed reports a failed call to the reducer.
func (p *proc) postFailed(eff msg.Effect, status msg.CallStatus) {
	ev, _ := coretest.Failed(eff, status)
	p.step(ev)
}

// watch lists the objects when one of them has changed or at the end of the wait.
func (p *proc) watch(eff msg.WatchObjects, end time.Duration) {
	s := p.s
	if s.store != storeAvailable || !s.reachable(p.self.Host, platform) || !s.reachable(platform, p.self.Host) {
		p.runLocalAfter(100*time.Millisecond, func() { p.postFailed(eff, msg.CallUnavailable) })
		return
	}
	if !s.objects.Changed(eff.Kind, eff.Since) && s.now < end {
		p.runLocalAfter(tick, func() { p.watch(eff, end) })
		return
	}
	p.callStore(eff)
}

// listHosts lists the hosts and records a failure to do so.
func (p *proc) listHosts(eff msg.ListHosts) {
	s := p.s
	if s.store != storeAvailable || !s.reachable(p.self.Host, platform) || !s.reachable(platform, p.self.Host) {
		p.hostListFailedAt = s.now
		p.runLocalAfter(100*time.Millisecond, func() { p.step(msg.HostsListed{Call: eff.Call, Status: msg.CallUnavailable}) })
		return
	}
	hosts := slices.Clone(s.listedHosts)
	p.runLocalAfter(s.messageDelay(), func() { p.step(msg.HostsListed{Call: eff.Call, Hosts: hosts}) })
}

// sendPeer sends a message to another daemon. Messages are delayed; 1% are lost
// and 2% are duplicated.
func (p *proc) sendPeer(eff msg.SendPeer) {
	s := p.s
	if !s.reachable(p.self.Host, eff.To) || s.chance(0.01) {
		return
	}
	copies := 1
	if s.chance(0.02) {
		copies = 2
	}
	for range copies {
		s.after(s.messageDelay(), func() {
			if to := s.procs[eff.To]; to != nil {
				to.post(msg.PeerReceived{From: p.self.Host, Message: eff.Message})
			}
		})
	}
}

// usageEndpoint is the platform interface that accepts usage reports.
type usageEndpoint struct {
	unavailable bool
	accepted    map[usageKey]msg.UsageReport
}

// usageKey identifies a usage window of an account.
type usageKey struct {
	account msg.AccountID
	window  time.Time
}

// reportUsage sends a usage report. Its response may be lost after the report was
// accepted.
func (p *proc) reportUsage(eff msg.ReportUsage) {
	s := p.s
	if p.now() >= eff.NotAfter && !s.mutations.ignoreNotAfter {
		p.step(msg.UsageReported{Call: eff.Call, Status: msg.CallUnavailable})
		return
	}
	if s.usage.unavailable || !s.reachable(p.self.Host, platform) {
		p.runLocalAfter(time.Second, func() { p.step(msg.UsageReported{Call: eff.Call, Status: msg.CallUnavailable}) })
		return
	}
	s.after(s.messageDelay(), func() {
		status := s.usage.accept(s, eff)
		if s.chance(s.answerLossRate) || !s.reachable(platform, p.self.Host) {
			status = msg.CallUnknown
		}
		p.runLocalAfter(s.messageDelay(), func() { p.step(msg.UsageReported{Call: eff.Call, Status: status}) })
	})
}

// accept stores a report. A report that differs from an earlier one of the same
// account and window is a conflict.
func (u *usageEndpoint) accept(s *sim, eff msg.ReportUsage) msg.CallStatus {
	s.oracle.usageReported(eff)
	k := usageKey{eff.Report.Account, eff.Report.Window}
	if old, ok := u.accepted[k]; ok && old != eff.Report {
		return msg.CallConflict
	}
	u.accepted[k] = eff.Report
	return msg.CallOK
}
