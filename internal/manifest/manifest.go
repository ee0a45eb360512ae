// Package manifest defines what operators declare: client accounts and their
// keys, models, pools of targets and their desired shape, and routes.
//
// A manifest is one YAML document of at most [MaxSize] bytes. It is decoded
// strictly, and accepted or rejected as a whole.
package manifest

import "time"

// APIVersion is the manifest format that this package reads.
const APIVersion = "verbenaspur/v1"

// MaxSize is the largest size of a manifest in bytes, which is the platform's
// limit for one value.
const MaxSize = 1 << 20

// Manifest is the declared state of one deployment.
type Manifest struct {
	APIVersion string    `json:"apiVersion" yaml:"apiVersion" validate:"required,eq=verbenaspur/v1"`
	Deployment string    `json:"deployment" yaml:"deployment" validate:"required,name"`
	Models     []Model   `json:"models,omitempty" yaml:"models,omitempty" validate:"dive"`
	Pools      []Pool    `json:"pools" yaml:"pools" validate:"required,dive"`
	Routes     []Route   `json:"routes" yaml:"routes" validate:"required,dive"`
	Accounts   []Account `json:"accounts,omitempty" yaml:"accounts,omitempty" validate:"dive"`
	Usage      Usage     `json:"usage,omitzero" yaml:"usage,omitempty"`
	Regions    []Region  `json:"regions,omitempty" yaml:"regions,omitempty" validate:"dive"`
}

// Region groups failure domains.
type Region struct {
	Name           string   `json:"name" yaml:"name" validate:"required,name"`
	FailureDomains []string `json:"failureDomains" yaml:"failureDomains" validate:"required,min=1,dive,name"`
}

// Model is a model version that engines load from the weight store.
type Model struct {
	Name     string   `json:"name" yaml:"name" validate:"required,name"`
	Version  string   `json:"version" yaml:"version" validate:"required"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty" validate:"dive,name"`
}

// PoolKind is the kind of a pool's targets.
type PoolKind string

// Kinds of pools.
const (
	PoolEngines PoolKind = "engines"
	PoolService PoolKind = "service"
)

// Pool is a group of interchangeable targets.
type Pool struct {
	Name  string        `json:"name" yaml:"name" validate:"required,name"`
	Kind  PoolKind      `json:"kind" yaml:"kind" validate:"required,oneof=engines service"`
	Model string        `json:"model,omitempty" yaml:"model,omitempty"`
	Shape []DomainShape `json:"shape" yaml:"shape" validate:"required,min=1,dive"`
	// Roles limits the role planner in an engine pool.
	Roles RolePolicy `json:"roles,omitzero" yaml:"roles,omitempty"`
	// Rollout limits how many targets may be changed at the same time.
	Rollout Rollout `json:"rollout,omitzero" yaml:"rollout,omitempty"`
	// TargetCost is the price of one target per hour, in the operator's unit.
	TargetCost float64 `json:"targetCost,omitempty" yaml:"targetCost,omitempty" validate:"gte=0"`
}

// DomainShape is the desired number of a pool's targets in a failure domain.
type DomainShape struct {
	FailureDomain string `json:"failureDomain" yaml:"failureDomain" validate:"required,name"`
	Min           int    `json:"min" yaml:"min" validate:"gte=0"`
	Max           int    `json:"max" yaml:"max" validate:"gtefield=Min"`
}

// RoleMode selects how engine roles are assigned.
type RoleMode string

// Modes of role assignment.
const (
	RolesPlanned RoleMode = "planned"
	RolesMixed   RoleMode = "mixed"
	RolesFixed   RoleMode = "fixed"
)

// RolePolicy limits the role planner.
type RolePolicy struct {
	Mode RoleMode `json:"mode,omitempty" yaml:"mode,omitempty" validate:"omitempty,oneof=planned mixed fixed"`
	// Prefill and Decode are the numbers of engines with these roles in mode
	// fixed. The other engines have the mixed role.
	Prefill int `json:"prefill,omitempty" yaml:"prefill,omitempty" validate:"gte=0"`
	Decode  int `json:"decode,omitempty" yaml:"decode,omitempty" validate:"gte=0"`
}

// Rollout limits planned changes in a pool.
type Rollout struct {
	// MaxUnavailable is the largest number of targets that may be unavailable
	// at the same time.
	MaxUnavailable int `json:"maxUnavailable,omitempty" yaml:"maxUnavailable,omitempty" validate:"gte=0"`
}

// Access states who may use a route.
type Access string

// Kinds of access.
const (
	AccessKeyed  Access = "keyed"
	AccessPublic Access = "public"
)

// Class states how long a route's requests may wait.
type Class string

// Classes of routes.
const (
	ClassUrgent   Class = "urgent"
	ClassOrdinary Class = "ordinary"
	ClassMayWait  Class = "may-wait"
)

// Route maps calls to a pool.
//
// A call selects a route of an engine pool by giving the route's name as the
// model name of an OpenAI-style request. The calls of a route of a service pool
// have paths below /services/{name}/.
type Route struct {
	Name   string `json:"name" yaml:"name" validate:"required,name"`
	Pool   string `json:"pool" yaml:"pool" validate:"required"`
	Access Access `json:"access" yaml:"access" validate:"required,oneof=keyed public"`
	Class  Class  `json:"class" yaml:"class" validate:"required,oneof=urgent ordinary may-wait"`
	// Adapter is the adapter of the pool's model that the route uses.
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	// Operations lists the allowed calls of a plain service. A call that matches
	// none of them is refused.
	Operations []Operation `json:"operations,omitempty" yaml:"operations,omitempty" validate:"dive"`
	// Accounts limits a keyed route to these client accounts. If it is empty,
	// all client accounts may use the route.
	Accounts []string `json:"accounts,omitempty" yaml:"accounts,omitempty"`
	// Timeout is the longest duration of a request, from its arrival to the end
	// of its response.
	Timeout Duration `json:"timeout" yaml:"timeout" validate:"required,gt=0"`
	// QueueTimeout is the longest wait of a request before an attempt starts.
	QueueTimeout Duration `json:"queueTimeout,omitempty" yaml:"queueTimeout,omitempty" validate:"gte=0"`
	// MaxTokens is the largest number of tokens to generate for a request.
	MaxTokens int `json:"maxTokens,omitempty" yaml:"maxTokens,omitempty" validate:"gte=0"`
}

// Operation is a method and path prefix of a plain service.
type Operation struct {
	Method     string `json:"method" yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix" validate:"required,startswith=/"`
	// Idempotent reports whether the operation may run more than once for a
	// call. The calls of other operations need an Idempotency-Key.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name" yaml:"name" validate:"required,name"`
	// Weight is the account's share of the capacity under contention, relative
	// to the weights of the other accounts.
	Weight float64 `json:"weight" yaml:"weight" validate:"gt=0"`
	Limits Limits  `json:"limits,omitzero" yaml:"limits,omitempty"`
	Keys   []Key   `json:"keys,omitempty" yaml:"keys,omitempty" validate:"dive"`
}

// Limits holds the limits on what an account may use at the same time, per entry
// daemon. Zero means that the account has no limit of its own.
type Limits struct {
	Concurrent      int     `json:"concurrent,omitempty" yaml:"concurrent,omitempty" validate:"gte=0"`
	Queued          int     `json:"queued,omitempty" yaml:"queued,omitempty" validate:"gte=0"`
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty" validate:"gte=0"`
}

// Key is an API key. The secret itself is never stored.
type Key struct {
	ID string `json:"id" yaml:"id" validate:"required,name"`
	// Hash is the lower-case hex SHA-256 of "id:secret".
	Hash string `json:"hash" yaml:"hash" validate:"required,len=64,hexadecimal"`
	// NotAfter is the end of the key's validity. If it is zero, the key does not
	// expire.
	NotAfter time.Time `json:"notAfter,omitzero" yaml:"notAfter,omitempty"`
}

// Usage configures the reporting of usage.
type Usage struct {
	// Window is the length of a reporting window.
	Window Duration `json:"window,omitempty" yaml:"window,omitempty" validate:"gte=0"`
	// Grace is how long a window stays open for late counts after its end.
	Grace Duration `json:"grace,omitempty" yaml:"grace,omitempty" validate:"gte=0"`
	// Shards is the number of groups into which the accounts are divided. Each
	// group is reported under a lease of its own.
	Shards int `json:"shards,omitempty" yaml:"shards,omitempty" validate:"gte=0,lte=256"`
}
