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

// queryFunc requests a document from a server.
type queryFunc func(ctx context.Context, client *operator.Client) (operator.Document, error)

// runQuery prints the document that a query returns.
func runQuery(ctx context.Context, cmd *cli.Command, q queryFunc) error {
	client, err := newClient(cmd)
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
		Usage: "show pools, targets, roles, leases, hosts and the configuration generation in force",
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
		Usage:     "show the decisions made for a request",
		ArgsUsage: "REQUEST-ID",
		UsageText: "verbenaspurctl explain 01JD…     the X-Request-Id of the response",
		Description: "Each entry daemon keeps the decisions of its own latest requests. Select the one that\n" +
			"received the request with --server; the log lines of the request name it too.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := oneArgument(cmd, "the request ID, from the header X-Request-Id")
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
			pool, err := requiredFlag(cmd, flagPool)
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
		Usage:     "show the counted, frozen and reported usage per account and window",
		UsageText: "verbenaspurctl usage --account taichung-depot",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagAccount, Usage: "show only this client `ACCOUNT`"}},
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
		Usage:     "let a target finish its running requests and send it no new ones",
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

// accountView is an account without the hashes of its keys.
type accountView struct {
	Name   string          `json:"name"`
	Weight float64         `json:"weight"`
	Limits manifest.Limits `json:"limits"`
	Keys   []string        `json:"keys"`
}

func accountsCommand() *cli.Command {
	return &cli.Command{
		Name:      "accounts",
		Usage:     "list the client accounts in force, or those in a manifest file",
		ArgsUsage: "[FILE]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			m, err := manifestFromFileOrServer(ctx, cmd)
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

// manifestFromFileOrServer returns the manifest in the file that the command line
// names, or the one in force if it names none.
func manifestFromFileOrServer(ctx context.Context, cmd *cli.Command) (*manifest.Manifest, error) {
	if cmd.Args().Len() == 0 {
		return manifestInForce(ctx, cmd)
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
