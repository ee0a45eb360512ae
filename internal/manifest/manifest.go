// Package manifest defines what operators declare: client accounts and their
// keys, models, pools of targets and their desired shape, and routes.
//
// A manifest is one YAML document of at most [MaxSize] bytes. It is decoded
// strictly and taken or refused as a whole.
package manifest

import "time"

// APIVersion is the manifest format that this package reads.
const APIVersion = "verbenaspur/v1"

// MaxSize is the largest manifest in bytes, the platform's limit for one value.
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

// PoolKind says what the targets of a pool are.
type PoolKind string

// Kinds of pools.
const (
	PoolEngines PoolKind = "engines"
	PoolService PoolKind = "service"
)

// Pool is a group of like targets.
type Pool struct {
	Name  string        `json:"name" yaml:"name" validate:"required,name"`
	Kind  PoolKind      `json:"kind" yaml:"kind" validate:"required,oneof=engines service"`
	Model string        `json:"model,omitempty" yaml:"model,omitempty"`
	Shape []DomainShape `json:"shape" yaml:"shape" validate:"required,min=1,dive"`
	// Roles bounds what the role planner may do in an engine pool.
	Roles RolePolicy `json:"roles,omitzero" yaml:"roles,omitempty"`
	// Rollout bounds how many targets may be changed at once.
	Rollout Rollout `json:"rollout,omitzero" yaml:"rollout,omitempty"`
	// TargetCost is the price of one target for an hour, in the operator's unit.
	TargetCost float64 `json:"targetCost,omitempty" yaml:"targetCost,omitempty" validate:"gte=0"`
}

// DomainShape is the wanted number of a pool's targets in a failure domain.
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

// RolePolicy bounds the role planner.
type RolePolicy struct {
	Mode RoleMode `json:"mode,omitempty" yaml:"mode,omitempty" validate:"omitempty,oneof=planned mixed fixed"`
	// Prefill and Decode are the fixed numbers in mode fixed; the rest is mixed.
	Prefill int `json:"prefill,omitempty" yaml:"prefill,omitempty" validate:"gte=0"`
	Decode  int `json:"decode,omitempty" yaml:"decode,omitempty" validate:"gte=0"`
}

// Rollout bounds planned changes in a pool.
type Rollout struct {
	// MaxUnavailable is the number of targets that may be out at once.
	MaxUnavailable int `json:"maxUnavailable,omitempty" yaml:"maxUnavailable,omitempty" validate:"gte=0"`
}

// Access says who may use a route.
type Access string

// Kinds of access.
const (
	AccessKeyed  Access = "keyed"
	AccessPublic Access = "public"
)

// Class says how long a route's requests may wait.
type Class string

// Classes of routes.
const (
	ClassUrgent   Class = "urgent"
	ClassOrdinary Class = "ordinary"
	ClassMayWait  Class = "may-wait"
)

// Route maps calls to a pool.
//
// A route of an engine pool is called by its name as the OpenAI-style model
// name. A route of a service pool is called below /services/{name}/.
type Route struct {
	Name   string `json:"name" yaml:"name" validate:"required,name"`
	Pool   string `json:"pool" yaml:"pool" validate:"required"`
	Access Access `json:"access" yaml:"access" validate:"required,oneof=keyed public"`
	Class  Class  `json:"class" yaml:"class" validate:"required,oneof=urgent ordinary may-wait"`
	// Adapter selects an adapter of the pool's model.
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	// Operations lists the calls of a plain service. A call that matches none
	// is refused.
	Operations []Operation `json:"operations,omitempty" yaml:"operations,omitempty" validate:"dive"`
	// Accounts limits a keyed route to these client accounts; empty for all.
	Accounts []string `json:"accounts,omitempty" yaml:"accounts,omitempty"`
	// Timeout bounds a request from arrival to the end of its answer.
	Timeout Duration `json:"timeout" yaml:"timeout" validate:"required,gt=0"`
	// QueueTimeout bounds the wait before an attempt starts.
	QueueTimeout Duration `json:"queueTimeout,omitempty" yaml:"queueTimeout,omitempty" validate:"gte=0"`
	// MaxTokens caps generated tokens per request.
	MaxTokens int `json:"maxTokens,omitempty" yaml:"maxTokens,omitempty" validate:"gte=0"`
}

// Operation is a method and path prefix of a plain service.
type Operation struct {
	Method     string `json:"method" yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix" validate:"required,startswith=/"`
	// Idempotent says that the operation may run more than once. The others
	// need an Idempotency-Key.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name" yaml:"name" validate:"required,name"`
	// Weight is the account's share under contention, relative to the others.
	Weight float64 `json:"weight" yaml:"weight" validate:"gt=0"`
	Limits Limits  `json:"limits,omitzero" yaml:"limits,omitempty"`
	Keys   []Key   `json:"keys,omitempty" yaml:"keys,omitempty" validate:"dive"`
}

// Limits bounds what an account may use at once, per entry daemon. Zero is no
// limit of its own.
type Limits struct {
	Concurrent      int     `json:"concurrent,omitempty" yaml:"concurrent,omitempty" validate:"gte=0"`
	Queued          int     `json:"queued,omitempty" yaml:"queued,omitempty" validate:"gte=0"`
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty" validate:"gte=0"`
}

// Key is an API key. The secret itself is never kept.
type Key struct {
	ID string `json:"id" yaml:"id" validate:"required,name"`
	// Hash is the lower-case hex SHA-256 of "id:secret".
	Hash string `json:"hash" yaml:"hash" validate:"required,len=64,hexadecimal"`
	// NotAfter ends the key's validity; zero for none.
	NotAfter time.Time `json:"notAfter,omitzero" yaml:"notAfter,omitempty"`
}

// Usage sets how usage is reported.
type Usage struct {
	// Window is the length of a reporting window.
	Window Duration `json:"window,omitempty" yaml:"window,omitempty" validate:"gte=0"`
	// Grace is how long a window stays open for late counts.
	Grace Duration `json:"grace,omitempty" yaml:"grace,omitempty" validate:"gte=0"`
	// Shards is the number of groups of accounts that are reported under one
	// lease each.
	Shards int `json:"shards,omitempty" yaml:"shards,omitempty" validate:"gte=0,lte=256"`
}
