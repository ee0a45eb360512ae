package requests

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Names in the measured deployments.
const (
	modelName    = "model"
	enginePool   = "engines"
	servicePool  = "service"
	urgentRoute  = "ask"
	laterRoute   = "brief"
	serviceRoute = "lookup"
)

// Shape is the size of a deployment.
type Shape struct {
	Name     string
	Domains  int
	Entries  int
	Engines  int
	Services int
	// DomainDelay is the one-way delay between failure domains and
	// ClientDelay that between callers and entries.
	DomainDelay, ClientDelay time.Duration
	// Weights are the weights of the client accounts, and also their parts of
	// the ordinary demand.
	Weights []float64
	// Documents is the number of shared prompt prefixes of an account.
	Documents int
}

// Taichung and Consortium are the shapes of the two users.
var (
	Taichung = Shape{
		Name: "Taichung", Domains: 3, Entries: 4, Engines: 20, Services: 3,
		DomainDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Weights: []float64{6, 5, 4, 1, 1, 1, 1, 1}, Documents: 20,
	}
	Consortium = Shape{
		Name: "Consortium", Domains: 4, Entries: 4, Engines: 20, Services: 4,
		DomainDelay: time.Millisecond, ClientDelay: time.Millisecond,
		Weights: []float64{4, 4, 3, 2, 1, 1, 1, 1}, Documents: 30,
	}
)

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

func domainName(i int) msg.FailureDomain { return msg.FailureDomain(fmt.Sprintf("domain-%d", i)) }

func (s *Shape) manifest() *manifest.Index {
	m := &manifest.Manifest{
		Models: []manifest.Model{{Name: modelName, Version: "1"}},
		Pools: []manifest.Pool{
			{Name: enginePool, Kind: manifest.PoolEngines, Model: modelName},
			{Name: servicePool, Kind: manifest.PoolService},
		},
		Routes: []manifest.Route{
			{Name: urgentRoute, Pool: enginePool, Access: manifest.AccessKeyed, Class: manifest.ClassUrgent, Timeout: manifest.Duration(time.Minute), QueueTimeout: manifest.Duration(300 * time.Millisecond)},
			{Name: laterRoute, Pool: enginePool, Access: manifest.AccessKeyed, Class: manifest.ClassMayWait, Timeout: manifest.Duration(2 * time.Minute), QueueTimeout: manifest.Duration(20 * time.Second)},
			{
				Name: serviceRoute, Pool: servicePool, Access: manifest.AccessKeyed, Class: manifest.ClassUrgent, Timeout: manifest.Duration(10 * time.Second),
				Operations: []manifest.Operation{{Method: "GET", PathPrefix: "/", Idempotent: true}},
			},
		},
	}
	for i, w := range s.Weights {
		d := keyDigest(i)
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: accountName(i), Weight: w,
			Keys: []manifest.Key{{ID: accountName(i), Hash: fmt.Sprintf("%x", d[:])}},
		})
	}
	return manifest.NewIndex(m)
}

func keyDigest(i int) msg.KeyDigest { return msg.KeyDigest{byte(i + 1)} }

// Load is the demand of one run.
type Load struct {
	// Rate is the number of generation requests a second, Calls that of calls
	// of the plain service.
	Rate, Calls float64
	// Flooder is the account that sends Flood times its part; -1 for none.
	Flooder int
	Flood   float64
	// OneEntry sends the flood through one entry only.
	OneEntry bool
	Warm     time.Duration
	Length   time.Duration
	Seed     uint64
}

const (
	// laterPart is the part of the requests that may wait.
	laterPart = 0.2
	// swingEvery is the interval at which the mix turns from long prompts to
	// long answers and back.
	swingEvery = 20 * time.Second
	// maxOutput is the length of the longest answer in tokens.
	maxOutput = 1200
)

// arrival is one request of the load.
type arrival struct {
	at      time.Duration
	account int
	entry   int
	route   string
	prefix  []msg.BlockHash
	prompt  int
	output  int
}

// arrivals draws the requests of a run.
func (s *Shape) arrivals(l *Load) []arrival {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	var total float64
	for _, w := range s.Weights {
		total += w
	}
	var out []arrival
	for i, w := range s.Weights {
		rate := l.Rate * w / total
		if i == l.Flooder {
			rate *= l.Flood
		}
		out = s.draw(out, rng, l, i, rate, false)
		out = s.draw(out, rng, l, i, l.Calls*w/total, true)
	}
	return out
}

// draw adds the Poisson arrivals of one account.
func (s *Shape) draw(out []arrival, rng *rand.Rand, l *Load, account int, rate float64, call bool) []arrival {
	for at := time.Duration(0); rate > 0; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= l.Warm+l.Length {
			break
		}
		a := arrival{at: at, account: account, entry: rng.IntN(s.Entries)}
		if account == l.Flooder && l.OneEntry {
			a.entry = 0
		}
		if call {
			a.route = serviceRoute
		} else {
			s.prompt(rng, &a)
		}
		out = append(out, a)
	}
	return out
}

// prompt draws the sizes of a generation request. The document's popularity
// falls with its number.
func (s *Shape) prompt(rng *rand.Rand, a *arrival) {
	a.route = urgentRoute
	if rng.Float64() < laterPart {
		a.route = laterRoute
	}
	doc := int(rng.ExpFloat64() * float64(s.Documents) / 3)
	doc = min(doc, s.Documents-1)
	pieces := 1 + doc%3
	for p := range pieces {
		a.prefix = append(a.prefix, msg.BlockHash(uint64(a.account)<<32|uint64(doc)<<8|uint64(p)+1))
	}
	suffix, answer := 300.0, 350.0
	if (a.at/swingEvery)%2 == 1 {
		suffix, answer = 1500, 150
	}
	a.prompt = pieces*pieceTokens + 50 + int(rng.ExpFloat64()*suffix)
	a.output = min(10+int(rng.ExpFloat64()*answer), maxOutput)
}
