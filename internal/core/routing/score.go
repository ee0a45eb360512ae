package routing

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// PieceTokens is the number of prompt tokens in one piece of a prefix cache.
const PieceTokens = 2000

const (
	// congestion is the cost in seconds of taking an engine's last free slot.
	congestion = 0.3
	// serviceTime is the cost in seconds of a plain service at its limit.
	serviceTime = 0.05
	// domainDistance and regionDistance are the costs in seconds of leaving
	// the entry's failure domain and region.
	domainDistance = 0.003
	regionDistance = 0.06
	// wrongRole is the cost in seconds of a whole request on an engine that
	// is set up for one half of it.
	wrongRole = 0.5
	// idleBacklog is a prefill backlog in seconds that counts as none.
	idleBacklog = 0.02
	// unseenPart is the part of the work of other entries since the report
	// that still waits, and maxUnseen bounds the time that it is counted for.
	unseenPart = 0.5
	maxUnseen  = time.Second
	// patience multiplies the wanted time to the first token for requests
	// that are late already.
	patience = 3
	// laterShare is the part of an engine's capacity that requests that may
	// wait can fill.
	laterShare = 0.8
)

// candidate is a target that passed the filter, with its score.
type candidate struct {
	target *target
	// pieces is the number of prompt pieces expected in its cache.
	pieces int
	trust  float64
	// prefill is the expected prefill work of the request in tokens.
	prefill int
	cost    float64
	// room says that the request can be served in time there.
	room bool
}

// score sets the cost of a candidate in seconds.
func (r *Router) score(now msg.Time, req *Request, c *candidate) {
	t := c.target
	t.drain(now)
	share := req.share()
	slots := t.slots(r.cfg.Step) * share
	load := float64(t.batch()+1) / slots
	c.cost = r.distance(t)
	c.room = load <= 1 && t.fits(req)
	if t.kind == msg.TargetService {
		c.cost += serviceTime * load
		return
	}
	c.prefill = max(req.PromptTokens-int(float64(c.pieces*PieceTokens)*c.trust), 1)
	wait := t.wait(now) * r.ahead(req)
	first := wait + float64(c.prefill)/t.rate()
	c.cost += first + congestion*load*load + roleCost(t.load.Role)
	limit := r.firstToken(req)
	c.room = c.room && (first <= limit || wait <= idleBacklog)
}

// wait estimates the time in seconds until the engine begins a further
// prefill. It counts a part of the work that other entries are expected to
// have sent since the report.
func (t *target) wait(now msg.Time) float64 {
	age := min(now-t.readAt, maxUnseen).Seconds()
	return (t.backlog + unseenPart*t.others*age) / t.rate()
}

// ahead is the part of an engine's backlog that the request waits for:
// engines serve accounts over their fair share last.
func (r *Router) ahead(req *Request) float64 {
	p := r.pools[req.Pool]
	if req.Over || p.sent <= 0 {
		return 1
	}
	return 1 - p.sentOver/p.sent
}

// share is the part of a target's capacity that the request may fill.
func (req *Request) share() float64 {
	share := req.Share
	if share == 0 {
		share = 1
	}
	if req.Class == msg.ClassMayWait {
		share *= laterShare
	}
	return share
}

// firstToken is the time in seconds that is left for the first token.
func (r *Router) firstToken(req *Request) float64 {
	if req.Class == msg.ClassMayWait {
		return r.cfg.FirstToken.Seconds()
	}
	left := r.cfg.FirstToken - req.Waited
	if left <= 0 {
		return r.cfg.FirstToken.Seconds() * patience
	}
	return left.Seconds()
}

func roleCost(role msg.Role) float64 {
	if role == msg.RoleMixed {
		return 0
	}
	return wrongRole
}

func (r *Router) distance(t *target) float64 {
	if t.domain == r.self.Domain {
		return 0
	}
	if r.index != nil && r.index.Region(string(t.domain)) != r.index.Region(string(r.self.Domain)) {
		return regionDistance
	}
	return domainDistance
}
