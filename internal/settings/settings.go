// Package settings reads the YAML settings of one daemon.
package settings

import (
	"cmp"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// Role selects whether a process is an entry daemon or a side daemon.
type Role string

// Roles of a daemon.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// Settings configures one daemon.
type Settings struct {
	Role          Role     `yaml:"role" validate:"required,oneof=entry side"`
	Host          string   `yaml:"host" validate:"required"`
	FailureDomain string   `yaml:"failureDomain" validate:"required"`
	Region        string   `yaml:"region" validate:"required"`
	Listen        Listen   `yaml:"listen"`
	Platform      Platform `yaml:"platform"`
	TLS           TLS      `yaml:"tls"`
	Limits        Limits   `yaml:"limits,omitempty"`
	Log           Log      `yaml:"log"`
	// Target is the target beside a side daemon.
	Target *Target `yaml:"target,omitempty" validate:"required_if=Role side"`
	// Trace is the file to which the daemon records its events. If it is empty,
	// the events are not recorded.
	Trace string `yaml:"trace,omitempty"`
	// Operators lists the operators and the hashes of their tokens.
	Operators []Operator `yaml:"operators,omitempty" validate:"dive"`
}

// Operator is a person or pipeline that may change the configuration.
type Operator struct {
	Name string `yaml:"name" validate:"required"`
	// TokenHash is the lower-case hex SHA-256 of the operator's token.
	TokenHash string `yaml:"tokenHash" validate:"required,len=64,hexadecimal"`
}

// Listen holds the addresses on which a daemon listens. Each is an IP address and
// a port.
type Listen struct {
	// HTTP is the address for callers and operators. Only entry daemons have it.
	HTTP string `yaml:"http,omitempty" validate:"omitempty,hostport"`
	// Link is the UDP address for messages of the other daemons. Its port must be
	// the same on all hosts of a deployment.
	Link string `yaml:"link" validate:"required,hostport"`
	// Ops is the address for health checks and metrics.
	Ops string `yaml:"ops,omitempty" validate:"omitempty,hostport"`
}

// Platform holds the addresses of the platform's interfaces.
type Platform struct {
	Objects string `yaml:"objects" validate:"required,url"`
	Targets string `yaml:"targets" validate:"omitempty,url"`
	Usage   string `yaml:"usage" validate:"omitempty,url"`
	Hosts   string `yaml:"hosts" validate:"required,url"`
	// TokenFile names the file that contains the bearer token for the platform.
	TokenFile string `yaml:"tokenFile,omitempty"`
	// TargetsCheckFencing reports whether the platform's target interface refuses
	// old epochs.
	TargetsCheckFencing bool `yaml:"targetsCheckFencing,omitempty"`
}

// TLS names the files of a daemon's identity.
type TLS struct {
	CA   string `yaml:"ca" validate:"required"`
	Cert string `yaml:"cert" validate:"required"`
	Key  string `yaml:"key" validate:"required"`
	// HTTPCert and HTTPKey name the certificate and key for connections of
	// callers. Without them the daemon serves plain HTTP, behind the platform's
	// load balancer.
	HTTPCert string `yaml:"httpCert,omitempty"`
	HTTPKey  string `yaml:"httpKey,omitempty"`
}

// Limits bound what callers may hold of a daemon.
type Limits struct {
	// Connections is the number of connections that callers and operators may have open
	// together. The default is 4,096.
	Connections int `yaml:"connections,omitempty" validate:"omitempty,min=16"`
	// CallerMB is how much may be held of their requests and responses, in MiB. Requests
	// take half of it at most. The default is 128.
	CallerMB int `yaml:"callerMB,omitempty" validate:"omitempty,min=16"`
}

// Defaults of [Limits].
const (
	defaultConnections = 4096
	defaultCallerMB    = 128
)

// MaxConnections returns the number of connections that may be open.
func (l Limits) MaxConnections() int { return cmp.Or(l.Connections, defaultConnections) }

// CallerBytes returns the number of bytes that may be held for callers.
func (l Limits) CallerBytes() int64 { return int64(cmp.Or(l.CallerMB, defaultCallerMB)) << 20 }

// Log selects the format of log lines and the lowest level that is logged.
type Log struct {
	Format string `yaml:"format,omitempty" validate:"omitempty,oneof=text json"`
	Level  string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// TargetKind is the kind of a target.
type TargetKind string

// Kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target describes the target beside a side daemon.
type Target struct {
	ID   string     `yaml:"id" validate:"required"`
	Kind TargetKind `yaml:"kind" validate:"required,oneof=engine service"`
	Pool string     `yaml:"pool" validate:"required"`
	// URL is the base address of the target.
	URL string `yaml:"url" validate:"required,url"`
	// ChecksFencing reports whether the target itself refuses old epochs.
	ChecksFencing bool `yaml:"checksFencing,omitempty"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Decode(b)
}

// Decode reads and checks settings.
func Decode(b []byte) (*Settings, error) {
	s := Settings{Log: Log{Format: "text", Level: "info"}}
	if err := strictyaml.Decode(b, &s, check); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return &s, nil
}

func check(s *Settings) []strictyaml.Violation {
	var violations []strictyaml.Violation
	if s.Role == RoleEntry && s.Listen.HTTP == "" {
		violations = append(violations, strictyaml.Violation{Path: "$.listen.http", Message: "is missing; an entry daemon serves callers there"})
	}
	if s.Role == RoleEntry && s.Target != nil {
		violations = append(violations, strictyaml.Violation{Path: "$.target", Message: "must not be set for an entry daemon"})
	}
	if (s.TLS.HTTPCert == "") != (s.TLS.HTTPKey == "") {
		violations = append(violations, strictyaml.Violation{Path: "$.tls", Message: "httpCert and httpKey must be set together or not at all"})
	}
	for i, o := range s.Operators {
		if o.TokenHash != strings.ToLower(o.TokenHash) {
			violations = append(violations, strictyaml.Violation{
				Path:    fmt.Sprintf("$.operators[%d].tokenHash", i),
				Message: "must be in lower case",
			})
		}
	}
	return violations
}
