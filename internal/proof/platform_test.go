package proof

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// drive carries one effect out in the driver of the process.
func (p *proc) drive(eff msg.Effect) {
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
		p.s.stopReady(p)
	default:
		p.driveRequests(eff)
	}
}

func notAfter(eff msg.Effect) msg.Time {
	if put, ok := eff.(msg.PutObject); ok {
		return put.NotAfter
	}
	return 0
}

// callStore sends a call to the object API. Its answer may be lost, after the
// effect or before it.
func (p *proc) callStore(eff msg.Effect) {
	if limit := notAfter(eff); limit != 0 && p.now() >= limit && !p.s.muts.noLimits {
		p.postFailed(eff, msg.CallUnavailable)
		return
	}
	s := p.s
	switch {
	case s.store == storeOut:
		p.later(s.hop(), func() { p.postFailed(eff, msg.CallUnavailable) })
		return
	case s.store == storeSilent, !s.reaches(p.self.Host, platform):
		p.later(callTimeout, func() { p.postUnknown(eff) })
		return
	}
	s.after(s.hop()+s.slow, func() {
		ev, _ := s.objects.Do(eff)
		s.oracle.stored(eff, ev)
		if s.chance(s.loseRate) || !s.reaches(platform, p.self.Host) {
			p.later(callTimeout-100*time.Millisecond, func() { p.postFailed(eff, msg.CallUnknown) })
			return
		}
		p.later(s.hop(), func() { p.step(ev) })
	})
}

// postUnknown tells of a call that had no effect and whose answer did not come.
func (p *proc) postUnknown(eff msg.Effect) {
	if put, ok := eff.(msg.PutObject); ok && p.s.muts.assumeDone {
		p.step(msg.PutDone{Call: put.Call, Version: put.IfVersion + 1})
		return
	}
	p.postFailed(eff, msg.CallUnknown)
}

func (p *proc) postFailed(eff msg.Effect, status msg.CallStatus) {
	ev, _ := coretest.Failed(eff, status)
	p.step(ev)
}

func (p *proc) watch(eff msg.WatchObjects, end time.Duration) {
	s := p.s
	if s.store != storeWell || !s.reaches(p.self.Host, platform) || !s.reaches(platform, p.self.Host) {
		p.later(100*time.Millisecond, func() { p.postFailed(eff, msg.CallUnavailable) })
		return
	}
	if !s.objects.Changed(eff.Kind, eff.Since) && s.now < end {
		p.later(tick, func() { p.watch(eff, end) })
		return
	}
	p.callStore(eff)
}

func (p *proc) listHosts(eff msg.ListHosts) {
	s := p.s
	if s.store != storeWell || !s.reaches(p.self.Host, platform) || !s.reaches(platform, p.self.Host) {
		p.blind = s.now
		p.later(100*time.Millisecond, func() { p.step(msg.HostsListed{Call: eff.Call, Status: msg.CallUnavailable}) })
		return
	}
	hosts := slices.Clone(s.listed)
	p.later(s.hop(), func() { p.step(msg.HostsListed{Call: eff.Call, Hosts: hosts}) })
}

// sendPeer delivers a message late, twice or not at all.
func (p *proc) sendPeer(eff msg.SendPeer) {
	s := p.s
	if !s.reaches(p.self.Host, eff.To) || s.chance(0.01) {
		return
	}
	copies := 1
	if s.chance(0.02) {
		copies = 2
	}
	for range copies {
		s.after(s.hop(), func() {
			if to := s.procs[eff.To]; to != nil {
				to.post(msg.PeerReceived{From: p.self.Host, Message: eff.Message})
			}
		})
	}
}

// usageInterface takes usage reports.
type usageInterface struct {
	out      bool
	accepted map[usageKey]msg.UsageReport
}

type usageKey struct {
	account msg.AccountID
	window  time.Time
}

func (p *proc) reportUsage(eff msg.ReportUsage) {
	s := p.s
	if p.now() >= eff.NotAfter && !s.muts.noLimits {
		p.step(msg.UsageReported{Call: eff.Call, Status: msg.CallUnavailable})
		return
	}
	if s.usage.out || !s.reaches(p.self.Host, platform) {
		p.later(time.Second, func() { p.step(msg.UsageReported{Call: eff.Call, Status: msg.CallUnavailable}) })
		return
	}
	s.after(s.hop(), func() {
		status := s.usage.take(s, eff)
		if s.chance(s.loseRate) || !s.reaches(platform, p.self.Host) {
			status = msg.CallUnknown
		}
		p.later(s.hop(), func() { p.step(msg.UsageReported{Call: eff.Call, Status: status}) })
	})
}

func (u *usageInterface) take(s *sim, eff msg.ReportUsage) msg.CallStatus {
	s.oracle.usageReported(eff)
	k := usageKey{eff.Report.Account, eff.Report.Window}
	if old, ok := u.accepted[k]; ok && old != eff.Report {
		return msg.CallConflict
	}
	u.accepted[k] = eff.Report
	return msg.CallOK
}
