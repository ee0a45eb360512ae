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
	mayWaitRoute = "brief"
	serviceRoute = "lookup"
)

// Shape describes a deployment and its client accounts.
type Shape struct {
	Name string
	// Domains is the number of failure domains.
	Domains int
	Entries int
	Engines int
	// Services is the number of instances of the plain service.
	Services int
	// DomainDelay is the one-way delay between failure domains, and ClientDelay
	// that between callers and entries.
	DomainDelay, ClientDelay time.Duration
	// Weights are the weights of the client accounts. They are also the relative
	// request rates of the accounts in the absence of a flood.
	Weights []float64
	// Documents is the number of prompt prefixes that the requests of an account
	// share.
	Documents int
}

// Taichung and Consortium are the deployments of the system's two users.
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

// manifest returns the deployment's configuration.
func (s *Shape) manifest() *manifest.Index {
	m := &manifest.Manifest{
		Models: []manifest.Model{{Name: modelName, Version: "1"}},
		Pools: []manifest.Pool{
			{Name: enginePool, Kind: manifest.PoolEngines, Model: modelName},
			{Name: servicePool, Kind: manifest.PoolService},
		},
		Routes: []manifest.Route{
			{Name: urgentRoute, Pool: enginePool, Access: manifest.AccessKeyed, Class: manifest.ClassUrgent, Timeout: manifest.Duration(time.Minute), QueueTimeout: manifest.Duration(300 * time.Millisecond)},
			{Name: mayWaitRoute, Pool: enginePool, Access: manifest.AccessKeyed, Class: manifest.ClassMayWait, Timeout: manifest.Duration(2 * time.Minute), QueueTimeout: manifest.Duration(20 * time.Second)},
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

// keyDigest returns the digest of the i-th account's API key.
func keyDigest(i int) msg.KeyDigest { return msg.KeyDigest{byte(i + 1)} }

// Load describes the requests of a run.
type Load struct {
	// Rate is the number of generation requests per second, and Calls that of
	// requests to the plain service.
	Rate, Calls float64
	// Flooder is the index of the account that sends Flood times its share of
	// the generation requests, or -1 for none.
	Flooder int
	Flood   float64
	// OneEntry reports that the flooding account sends all its requests to one
	// entry.
	OneEntry bool
	// Warm is the time before the measurement, and Length its length.
	Warm   time.Duration
	Length time.Duration
	Seed   uint64
}

const (
	// mayWaitShare is the share of the generation requests that may wait.
	mayWaitShare = 0.2
	// mixInterval is the interval at which the requests change between long
	// responses and long prompts.
	mixInterval = 20 * time.Second
	// maxOutput is the length of the longest response in tokens.
	maxOutput = 1200
)

// arrival is a request of the load.
type arrival struct {
	at      time.Duration
	account int
	entry   int
	route   string
	prefix  []msg.BlockHash
	prompt  int
	output  int
}

// arrivals draws the requests of a run, account by account.
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
		out = s.drawAccount(out, rng, l, i, rate, false)
		out = s.drawAccount(out, rng, l, i, l.Calls*w/total, true)
	}
	return out
}

// drawAccount appends the Poisson arrivals of an account, either of requests to the
// plain service or of generation requests.
func (s *Shape) drawAccount(out []arrival, rng *rand.Rand, l *Load, account int, rate float64, call bool) []arrival {
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
			s.drawPrompt(rng, &a)
		}
		out = append(out, a)
	}
	return out
}

// drawPrompt draws the class, prefix and sizes of a generation request. Documents
// with a higher number are less popular.
func (s *Shape) drawPrompt(rng *rand.Rand, a *arrival) {
	a.route = urgentRoute
	if rng.Float64() < mayWaitShare {
		a.route = mayWaitRoute
	}
	doc := int(rng.ExpFloat64() * float64(s.Documents) / 3)
	doc = min(doc, s.Documents-1)
	blocks := 1 + doc%3
	for p := range blocks {
		a.prefix = append(a.prefix, msg.BlockHash(uint64(a.account)<<32|uint64(doc)<<8|uint64(p)+1))
	}
	suffix, answer := 300.0, 350.0
	if (a.at/mixInterval)%2 == 1 {
		suffix, answer = 1500, 150
	}
	a.prompt = blocks*blockTokens + 50 + int(rng.ExpFloat64()*suffix)
	a.output = min(10+int(rng.ExpFloat64()*answer), maxOutput)
}
