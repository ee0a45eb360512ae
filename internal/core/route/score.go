package route

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

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
	// patience multiplies the wanted time to the first token for requests
	// that may wait.
	patience = 10
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
	share := req.Share
	if share == 0 {
		share = 1
	}
	slots := t.slots(r.cfg.Step) * share
	load := float64(t.batch()+1) / slots
	c.cost = r.distance(t)
	c.room = load <= 1 && t.fits(req)
	if t.kind == msg.TargetService {
		c.cost += serviceTime * load
		return
	}
	c.prefill = max(req.PromptTokens-int(float64(c.pieces*PieceTokens)*c.trust), 1)
	wait := t.backlog / t.rate()
	first := wait + float64(c.prefill)/t.rate()
	c.cost += first + congestion*load*load + roleCost(t.load.Role)
	limit := r.firstToken(req.Class) * share
	c.room = c.room && (first <= limit || wait <= idleBacklog)
}

// firstToken is the wanted time to the first token in seconds.
func (r *Router) firstToken(c msg.Class) float64 {
	limit := r.cfg.FirstToken.Seconds()
	if c == msg.ClassMayWait {
		return limit * patience
	}
	return limit
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
