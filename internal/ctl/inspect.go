package ctl

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/operator"
)

const (
	flagAccount = "account"
	flagPool    = "pool"
	flagUndo    = "undo"
)

// query reads one document from a server.
type query func(ctx context.Context, client *operator.Client) (operator.Document, error)

func runQuery(ctx context.Context, cmd *cli.Command, q query) error {
	client, err := clientOf(cmd)
	if err != nil {
		return err
	}
	doc, err := q(ctx, client)
	if err != nil {
		return err
	}
	return print(cmd, doc, documentTable(doc))
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show pools, targets, roles, leases, members and the generation in force",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runQuery(ctx, cmd, func(ctx context.Context, c *operator.Client) (operator.Document, error) {
				return c.Status(ctx)
			})
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the decisions taken for a request",
		ArgsUsage: "REQUEST-ID",
		UsageText: "verbenaspurctl explain 01JD…     the answer's X-Request-Id",
		Description: "Each entry remembers its own latest requests. Name the entry that took the\n" +
			"request with --server; the log lines of the request name it too.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := oneArgument(cmd, "the request's id, from the header X-Request-Id")
			if err != nil {
				return err
			}
			return runQuery(ctx, cmd, func(ctx context.Context, c *operator.Client) (operator.Document, error) {
				return c.Explain(ctx, id)
			})
		},
	}
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what the role planner would do now",
		UsageText: "verbenaspurctl plan --pool dispatch",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagPool, Usage: "the `POOL`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			pool, err := required(cmd, flagPool)
			if err != nil {
				return err
			}
			return runQuery(ctx, cmd, func(ctx context.Context, c *operator.Client) (operator.Document, error) {
				return c.Plan(ctx, pool)
			})
		},
	}
}

func usageCommand() *cli.Command {
	return &cli.Command{
		Name:      "usage",
		Usage:     "show usage per account and window: counted, frozen, reported",
		UsageText: "verbenaspurctl usage --account taichung-depot",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagAccount, Usage: "only this client `ACCOUNT`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runQuery(ctx, cmd, func(ctx context.Context, c *operator.Client) (operator.Document, error) {
				return c.Usage(ctx, cmd.String(flagAccount))
			})
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "let a target finish its work and give it no more",
		ArgsUsage: "TARGET",
		UsageText: "verbenaspurctl drain dispatch-3\n" +
			"verbenaspurctl drain --undo dispatch-3",
		Flags: []cli.Flag{&cli.BoolFlag{Name: flagUndo, Usage: "end the drain"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			target, err := oneArgument(cmd, "the target")
			if err != nil {
				return err
			}
			return runQuery(ctx, cmd, func(ctx context.Context, c *operator.Client) (operator.Document, error) {
				return c.Drain(ctx, operator.Drain{Target: target, Undo: cmd.Bool(flagUndo)})
			})
		},
	}
}

// accountView is an account without its keys' hashes.
type accountView struct {
	Name   string          `json:"name"`
	Weight float64         `json:"weight"`
	Limits manifest.Limits `json:"limits"`
	Keys   []string        `json:"keys"`
}

func accountsCommand() *cli.Command {
	return &cli.Command{
		Name:      "accounts",
		Usage:     "list the client accounts in force, or those of a manifest",
		ArgsUsage: "[FILE]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			m, err := manifestOrRunning(ctx, cmd)
			if err != nil {
				return err
			}
			views := accountViews(m)
			return print(cmd, views, func(w io.Writer) {
				row(w, "ACCOUNT", "WEIGHT", "CONCURRENT", "QUEUED", "TOKENS/S", "KEYS")
				for _, v := range views {
					row(w, v.Name, v.Weight, v.Limits.Concurrent, v.Limits.Queued, v.Limits.TokensPerSecond, strings.Join(v.Keys, ","))
				}
			})
		},
	}
}

func manifestOrRunning(ctx context.Context, cmd *cli.Command) (*manifest.Manifest, error) {
	if cmd.Args().Len() == 0 {
		return running(ctx, cmd)
	}
	path, err := oneArgument(cmd, "the manifest")
	if err != nil {
		return nil, err
	}
	m, _, err := readManifest(path)
	return m, err
}

func accountViews(m *manifest.Manifest) []accountView {
	views := make([]accountView, 0, len(m.Accounts))
	for _, a := range m.Accounts {
		v := accountView{Name: a.Name, Weight: a.Weight, Limits: a.Limits, Keys: []string{}}
		for _, k := range a.Keys {
			v.Keys = append(v.Keys, k.ID)
		}
		views = append(views, v)
	}
	return views
}
