package platformpoll

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A daemon that lacks the configuration or the list of targets, or can't read a newer one
// because the platform turns it away, asks a daemon from which it hears. It takes what that
// daemon knows as of the instant at which its own question left, less the age of the other's
// reads, as for the replies of readers. Nothing replaces what this daemon knows that is
// newer.

const (
	// stateAskInterval is the least time between two questions.
	stateAskInterval = 150 * time.Millisecond
	// maxPartBytes limits a part of a state, so that it fits into a datagram.
	maxPartBytes = 30 << 10
	// maxParts limits the parts that are kept for a state.
	maxParts = 100
	// maxTransferAge is the largest age, in poll intervals, at which lists of targets and
	// of daemons are passed on.
	maxTransferAge = 2
)

// state is what a daemon tells one that asks.
type state struct {
	Table   *msg.RouteTable
	Targets *targetState
	Entries []msg.Host
	// Complete reports whether Entries holds all daemons.
	Complete bool
}

// targetState is a list of targets as it was read in an era at a revision.
type targetState struct {
	List     []msg.Instance
	Era      msg.StoreEra
	Revision msg.Revision
	Digest   uint64
}

// transfer is the state of this daemon's question.
type transfer struct {
	// seq is the number of the last question. The first one is drawn at random, so that
	// nobody who has not seen a question can answer it.
	seq     uint64
	askedAt msg.Time
	nextAt  msg.Time
	// parts holds the parts of the reply that have arrived.
	parts map[int][]byte
	// members are the live daemons, as far as this one knows.
	members msg.MembersChanged
}

// lacksState reports whether this daemon lacks something that another one may tell.
func (c *Component) lacksState() bool {
	switch {
	case c.table == nil, c.digest == 0, c.storeIsOlder() && c.newestVersion > c.table.Version:
		return true
	case c.newestVersion > c.table.Version && c.routePoll.failing:
		return true
	}
	return c.outdated && c.targetPoll.failing
}

// askForState asks a daemon for its state if this one lacks something.
func (c *Component) askForState(now msg.Time, from msg.HostID) []msg.Effect {
	if !c.lacksState() || now < c.transfer.nextAt {
		return nil
	}
	c.transfer.seq++
	c.transfer.askedAt, c.transfer.nextAt = now, now+stateAskInterval
	c.transfer.parts = make(map[int][]byte)
	return []msg.Effect{msg.SendPeer{To: from, Message: msg.StateQuery{Seq: c.transfer.seq, Lost: c.storeIsOlder()}}}
}

// answerState tells a daemon what this one knows, in parts. An old configuration is passed on
// only if the store has lost it. A list in which targets are kept that may have left is not
// passed on.
func (c *Component) answerState(now msg.Time, to msg.HostID, q msg.StateQuery) []msg.Effect {
	if c.table == nil {
		return nil
	}
	st := state{Table: c.table}
	if now-c.confirmedAt <= maxTransferAge*c.cfg.RoutesInterval {
		st.Entries, st.Complete = c.transfer.members.Entries, c.transfer.members.Complete
	} else if !q.Lost {
		return nil
	}
	if c.digest != 0 && len(c.expired) == 0 && now >= c.settledAt && now-c.lastListSent <= maxTransferAge*c.cfg.InstancesInterval {
		st.Targets = &targetState{List: c.instances(), Era: c.era, Revision: c.revision, Digest: c.digest}
	}
	b, err := json.Marshal(st)
	if err != nil {
		panic("platformpoll: state can't be encoded: " + err.Error())
	}
	n := (len(b) + maxPartBytes - 1) / maxPartBytes
	var effs []msg.Effect
	for i := range n {
		part := b[i*maxPartBytes : min((i+1)*maxPartBytes, len(b))]
		effs = append(effs, msg.SendPeer{To: to, Message: msg.StateReply{
			Seq: q.Seq, Part: i, Parts: n, Data: part, ConfigAge: now - c.confirmedAt, TargetsAge: now - c.lastListSent,
		}})
	}
	return effs
}

// onStateReply keeps a part of a reply, and applies the state once all parts are there.
func (c *Component) onStateReply(now msg.Time, from msg.HostID, m msg.StateReply) []msg.Effect {
	t := &c.transfer
	if m.Seq != t.seq || t.parts == nil || m.Parts > maxParts || m.Part < 0 || m.Part >= m.Parts {
		return nil
	}
	t.parts[m.Part] = m.Data
	if len(t.parts) < m.Parts {
		return nil
	}
	var b []byte
	for i := range m.Parts {
		b = append(b, t.parts[i]...)
	}
	t.parts = nil
	var st state
	if json.Unmarshal(b, &st) != nil {
		return nil
	}
	var effs []msg.Effect
	if len(st.Entries) > 0 {
		effs = append(effs, msg.Raise{Event: msg.EntriesTold{Entries: st.Entries, Complete: st.Complete}})
	}
	effs = append(effs, c.applyTable(now, from, st.Table, t.askedAt-m.ConfigAge)...)
	if st.Targets != nil {
		effs = append(effs, c.applyTargets(now, st.Targets, t.askedAt-m.TargetsAge)...)
	}
	return effs
}

// applyTable applies a configuration that another daemon knew to be the newest at an instant.
func (c *Component) applyTable(now msg.Time, from msg.HostID, table *msg.RouteTable, at msg.Time) []msg.Effect {
	if table == nil || table.Version < c.newestVersion {
		return nil
	}
	if c.table != nil && table.Version == c.table.Version {
		return c.confirm(at)
	}
	c.table, c.newestVersion = table, table.Version
	effs := []msg.Effect{msg.Raise{Event: msg.RoutesChanged{Table: table}}, msg.LogLine{
		Component: componentName, Text: "configuration received from another daemon",
		Attrs: []msg.Attr{
			{Key: "version", Value: strconv.FormatUint(table.Version, 10)},
			{Key: "host", Value: string(from)},
			{Key: "age_ms", Value: millis(now - at)},
		},
	}}
	return append(effs, c.confirm(at)...)
}

// applyTargets applies a list of targets that another daemon read at an instant.
func (c *Component) applyTargets(now msg.Time, t *targetState, at msg.Time) []msg.Effect {
	if at <= c.lastListSent || c.keepsOwnList(now) || c.era != 0 && t.Era != c.era || c.era == t.Era && t.Revision < c.revision {
		return nil
	}
	c.noteReachable(now, at)
	return c.applyList(now, t, at)
}
