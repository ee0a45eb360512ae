package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/platform"
)

// platformCommand returns the command that shows the contents of the platform's
// store for entry daemons that send requests to their targets themselves.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:      "platform",
		Usage:     "show the configuration, targets, entry daemons and leases in the platform's store",
		UsageText: "verbenaspurctl platform --settings node.yaml",
		Description: "Reads the store that an entry daemon's settings file names, and changes nothing. If the\n" +
			"beat of an entry daemon does not increase, it has ended or can't reach the store.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` of an entry daemon"},
		},
		Action: runPlatform,
	}
}

// platformStatus is the contents of the platform's store.
type platformStatus struct {
	Configuration configurationRow `json:"configuration"`
	Targets       []targetRow      `json:"targets"`
	// InvalidTargets counts the entries of the list of targets that do not name a
	// valid target.
	InvalidTargets int        `json:"oddTargets"`
	Entries        []entryRow `json:"entries"`
	Leases         []leaseRow `json:"leases"`
}

type configurationRow struct {
	Version  uint64 `json:"version"`
	Routes   int    `json:"routes"`
	Services int    `json:"services"`
	Accounts int    `json:"accounts"`
}

type targetRow struct {
	Target  msg.TargetID      `json:"target"`
	Service msg.ServiceID     `json:"service"`
	Addr    string            `json:"addr"`
	Domain  msg.FailureDomain `json:"domain"`
	Role    string            `json:"role"`
	State   string            `json:"state"`
}

type entryRow struct {
	Host msg.HostID `json:"host"`
	msg.EntryRecord
}

type leaseRow struct {
	Name string `json:"name"`
	msg.LeaseRecord
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	path, err := requiredFlag(cmd, flagSettings)
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return exitErrorf(exitInvalid, "%v", err)
	}
	st, err := readPlatform(ctx, platform.NewClient(s))
	if err != nil {
		return err
	}
	return print(cmd, st, st.table)
}

// platformReader reads the platform's store once.
type platformReader struct {
	ctx     context.Context
	client  *platform.Client
	started time.Time
}

func readPlatform(ctx context.Context, client *platform.Client) (*platformStatus, error) {
	r := &platformReader{ctx, client, time.Now()}
	st := &platformStatus{}
	for _, read := range []func(*platformStatus) error{r.configuration, r.targets, r.entries, r.leases} {
		if err := read(st); err != nil {
			return nil, err
		}
	}
	return st, nil
}

func (r *platformReader) do(eff msg.Effect) msg.Event {
	return r.client.Do(r.ctx, eff, func() msg.Time { return time.Since(r.started) })
}

func (r *platformReader) configuration(st *platformStatus) error {
	ev, _ := r.do(msg.ReadRoutes{}).(msg.RoutesRead)
	if ev.Status != msg.CallOK || ev.Table == nil {
		return exitErrorf(exitUnavailable, "failed to read the configuration: %s", ev.Reason)
	}
	st.Configuration = configurationRow{ev.Table.Version, len(ev.Table.Routes), len(ev.Table.Services), len(ev.Table.Accounts)}
	return nil
}

func (r *platformReader) targets(st *platformStatus) error {
	ev, _ := r.do(msg.ReadInstances{}).(msg.InstancesRead)
	if ev.Status != msg.CallOK {
		return exitErrorf(exitUnavailable, "failed to read the targets: %s", ev.Reason)
	}
	st.InvalidTargets = ev.Invalid
	for _, in := range ev.Instances {
		st.Targets = append(st.Targets, targetRow{in.Target, in.Service, in.Addr, in.Domain, in.Role.String(), in.State()})
	}
	return nil
}

func (r *platformReader) entries(st *platformStatus) error {
	return r.listObjects(msg.KindEntry, func(o msg.Object) error {
		row := entryRow{Host: msg.HostID(o.Name)}
		st.Entries = append(st.Entries, row)
		return json.Unmarshal(o.Value, &st.Entries[len(st.Entries)-1].EntryRecord)
	})
}

func (r *platformReader) leases(st *platformStatus) error {
	return r.listObjects(msg.KindLease, func(o msg.Object) error {
		st.Leases = append(st.Leases, leaseRow{Name: o.Name})
		return json.Unmarshal(o.Value, &st.Leases[len(st.Leases)-1].LeaseRecord)
	})
}

// listObjects calls add for each object of a kind.
func (r *platformReader) listObjects(kind msg.Kind, add func(msg.Object) error) error {
	ev, _ := r.do(msg.ListObjects{Kind: kind}).(msg.ListDone)
	if ev.Status != msg.CallOK {
		return exitErrorf(exitUnavailable, "failed to read the objects of kind %s", kind)
	}
	for _, o := range ev.Objects {
		if err := add(o); err != nil {
			return exitErrorf(exitFailed, "%s %s: %v", kind, o.Name, err)
		}
	}
	return nil
}

func (st *platformStatus) table(w io.Writer) {
	c := st.Configuration
	row(w, "CONFIGURATION", "ROUTES", "SERVICES", "ACCOUNTS")
	row(w, c.Version, c.Routes, c.Services, c.Accounts)
	row(w)
	row(w, "TARGET", "SERVICE", "ADDRESS", "DOMAIN", "ROLE", "STATE")
	for _, t := range st.Targets {
		row(w, t.Target, t.Service, t.Addr, t.Domain, t.Role, t.State)
	}
	if st.InvalidTargets > 0 {
		row(w, fmt.Sprintf("%d entries do not name a valid target", st.InvalidTargets))
	}
	row(w)
	row(w, "ENTRY", "ADDRESS", "DOMAIN", "INCARNATION", "BEAT", "LEAVING")
	for _, e := range st.Entries {
		row(w, e.Host, e.Addr, e.Domain, e.Incarnation, e.Heartbeat, e.Leaving)
	}
	row(w)
	row(w, "LEASE", "HOLDER", "INCARNATION", "EPOCH", "LENGTH", "RELEASED")
	for _, l := range st.Leases {
		row(w, l.Name, l.Holder, l.Incarnation, l.Epoch, time.Duration(l.DurationMS)*time.Millisecond, l.Released)
	}
}
