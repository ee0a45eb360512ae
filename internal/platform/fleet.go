package platform

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

type hostJSON struct {
	Host   msg.HostID        `json:"host"`
	Addr   string            `json:"addr"`
	Domain msg.FailureDomain `json:"failureDomain"`
	Region msg.Region        `json:"region"`
	Kind   string            `json:"kind"`
	State  string            `json:"state"`
}

type hostsJSON struct {
	Hosts []hostJSON `json:"hosts"`
}

// Kinds and states of hosts in the host list.
const (
	hostKindTarget   = "target"
	hostStateLeaving = "leaving"
)

func (h hostJSON) host() msg.Host {
	out := msg.Host{Host: h.Host, Addr: h.Addr, Domain: h.Domain, Region: h.Region}
	if h.Kind == hostKindTarget {
		out.Kind = msg.HostTarget
	}
	if h.State == hostStateLeaving {
		out.State = msg.HostLeaving
	}
	return out
}

// hostCache holds the last host list. The platform does not send the list again as
// long as its entity tag is valid.
type hostCache struct {
	mu    sync.Mutex
	etag  string
	hosts []msg.Host
}

func (op *operation) listHosts(eff msg.ListHosts) msg.Event {
	cache := &op.client.hosts
	cache.mu.Lock()
	defer cache.mu.Unlock()
	var l hostsJSON
	r := request{call: "list_hosts", method: http.MethodGet, url: op.client.cfg.Hosts + "/v1/hosts", etag: &cache.etag}
	status := op.do(&r, &l)
	switch {
	case status != msg.CallOK:
		return msg.HostsListed{Call: eff.Call, Status: status}
	case !r.unchanged:
		cache.hosts = cache.hosts[:0:0]
		for _, h := range l.Hosts {
			cache.hosts = append(cache.hosts, h.host())
		}
	}
	return msg.HostsListed{Call: eff.Call, Hosts: cache.hosts}
}

type provisionJSON struct {
	Pool   msg.PoolID        `json:"pool"`
	Domain msg.FailureDomain `json:"failureDomain"`
	Token  string            `json:"token"`
	Epoch  msg.Epoch         `json:"epoch"`
}

type targetJSON struct {
	Target  msg.TargetID      `json:"target"`
	Host    msg.HostID        `json:"host"`
	Pool    msg.PoolID        `json:"pool"`
	Domain  msg.FailureDomain `json:"failureDomain"`
	Token   string            `json:"token"`
	Ready   bool              `json:"ready"`
	Leaving bool              `json:"leaving"`
	Cost    float64           `json:"cost"`
}

type targetsJSON struct {
	Targets []targetJSON `json:"targets"`
}

func (op *operation) provisionTarget(eff msg.ProvisionTarget) msg.Event {
	var t targetJSON
	status := op.do(&request{
		call:     "order_target",
		method:   http.MethodPost,
		url:      op.client.cfg.Targets + "/v1/targets",
		body:     provisionJSON{Pool: eff.Pool, Domain: eff.Domain, Token: eff.Token, Epoch: eff.Epoch},
		notAfter: eff.NotAfter,
	}, &t)
	return msg.TargetProvisionDone{Call: eff.Call, Status: status, Target: t.Target}
}

func (op *operation) releaseTarget(eff msg.ReleaseTarget) msg.Event {
	q := url.Values{}
	q.Set("token", eff.Token)
	q.Set("epoch", strconv.FormatUint(uint64(eff.Epoch), 10))
	status := op.do(&request{
		call:     "withdraw_target",
		method:   http.MethodDelete,
		url:      op.client.cfg.Targets + "/v1/targets/" + url.PathEscape(string(eff.Target)) + "?" + q.Encode(),
		notAfter: eff.NotAfter,
	}, &ignoredBody{})
	return msg.TargetProvisionDone{Call: eff.Call, Status: status, Target: eff.Target}
}

func (op *operation) listTargets(eff msg.ListTargets) msg.Event {
	var l targetsJSON
	u := op.client.cfg.Targets + "/v1/targets?pool=" + url.QueryEscape(string(eff.Pool))
	status := op.do(&request{call: "list_targets", method: http.MethodGet, url: u}, &l)
	out := msg.TargetsListed{Call: eff.Call, Status: status, Pool: eff.Pool}
	for _, t := range l.Targets {
		out.Targets = append(out.Targets, msg.ProvisionedTarget(t))
	}
	return out
}

type usageJSON struct {
	Length              string    `json:"length"`
	Requests            int64     `json:"requests"`
	PromptTokens        int64     `json:"promptTokens"`
	CachedTokens        int64     `json:"cachedTokens"`
	GeneratedTokens     int64     `json:"generatedTokens"`
	LatePromptTokens    int64     `json:"latePromptTokens"`
	LateCachedTokens    int64     `json:"lateCachedTokens"`
	LateGeneratedTokens int64     `json:"lateGeneratedTokens"`
	Epoch               msg.Epoch `json:"epoch"`
}

func (op *operation) reportUsage(eff msg.ReportUsage) msg.Event {
	r := eff.Report
	window := r.Window.UTC().Format(time.RFC3339)
	status := op.do(&request{
		call:   "report_usage",
		method: http.MethodPut,
		url:    op.client.cfg.Usage + "/v1/usage/" + url.PathEscape(string(r.Account)) + "/" + url.PathEscape(window),
		body: usageJSON{
			Length:              r.Length.String(),
			Requests:            r.Requests,
			PromptTokens:        r.Usage.Prompt,
			CachedTokens:        r.Usage.Cached,
			GeneratedTokens:     r.Usage.Generated,
			LatePromptTokens:    r.Late.Prompt,
			LateCachedTokens:    r.Late.Cached,
			LateGeneratedTokens: r.Late.Generated,
			Epoch:               eff.Epoch,
		},
		notAfter: eff.NotAfter,
	}, &ignoredBody{})
	return msg.UsageReported{Call: eff.Call, Status: status}
}
