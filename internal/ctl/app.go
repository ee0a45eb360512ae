// Package ctl implements the commands of verbenaspurctl, the command line tool of
// operators.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/operator"
)

// Names of the flags that all commands accept.
const (
	flagServer = "server"
	flagToken  = "token-file"
	flagCA     = "ca"
	flagOutput = "output"
)

const exitCodeHelp = `Exit codes:
   0  done; for apply: accepted, in force everywhere
   1  failed
   2  invalid command line
   3  written, but not yet confirmed to be in force everywhere
   4  conflict: another change came first; nothing changed
   5  invalid manifest or settings; nothing changed
   6  no server could be reached, or the platform is unavailable; nothing changed
   7  unknown: the change may have been written
   8  the operator token was refused
   9  not found
  10  diff --exit-code: the manifests differ`

// New returns the root command. Output is written to out, messages to errOut.
func New(out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "verbenaspurctl",
		Usage:                 "check, apply and explain the configuration of a verbenaspur deployment",
		Description:           exitCodeHelp,
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags:                 sharedFlags(),
		Commands: []*cli.Command{
			validateCommand(), canonicalCommand(), diffCommand(), applyCommand(), historyCommand(),
			statusCommand(), platformCommand(), explainCommand(), storyCommand(), planCommand(), usageCommand(), drainCommand(),
			accountsCommand(), keysCommand(), certsCommand(), loadCommand(), experimentCommand(), reportCommand(), replayCommand(),
		},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes invalid command lines return exitUsage, for cmd and all of
// its subcommands.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageErrorf("%v; see --help", err)
	}
	if cmd.Action == nil {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() > 0 {
				return usageErrorf("unknown command %q; see --help", cmd.Args().First())
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

// requiredFlag returns the value of a flag, or an error if it is not set.
func requiredFlag(cmd *cli.Command, flag string) (string, error) {
	v := cmd.String(flag)
	if v == "" {
		return "", usageErrorf("flag --%s is required", flag)
	}
	return v, nil
}

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := New(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintf(errOut, "verbenaspurctl: %s\n", text)
	}
	return exitCode(err)
}

func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagServer,
			Aliases: []string{"s"},
			Usage:   "base `URL` of an entry daemon; repeat the flag to add others to try if it does not answer",
			Sources: cli.EnvVars("VERBENASPUR_SERVER"),
			Value:   []string{"http://127.0.0.1:8080"},
		},
		&cli.StringFlag{
			Name:    flagToken,
			Usage:   "`FILE` that contains the operator token",
			Sources: cli.EnvVars("VERBENASPUR_TOKEN_FILE"),
		},
		&cli.StringFlag{
			Name:    flagCA,
			Usage:   "`FILE` with the certificate authorities to trust for https servers",
			Sources: cli.EnvVars("VERBENASPUR_CA"),
		},
		&cli.StringFlag{
			Name:    flagOutput,
			Aliases: []string{"o"},
			Usage:   "`FORMAT` of the output: table, json or yaml",
			Value:   formatTable,
			Validator: func(s string) error {
				if s != formatTable && s != formatJSON && s != formatYAML {
					return errors.Newf("%q is not one of: table json yaml", s)
				}
				return nil
			},
		},
	}
}

// newClient returns a client with the servers and the token of the command line.
func newClient(cmd *cli.Command) (*operator.Client, error) {
	transport, err := operator.NewTransport(cmd.String(flagCA))
	if err != nil {
		return nil, err
	}
	token, err := readToken(cmd.String(flagToken))
	if err != nil {
		return nil, err
	}
	return operator.NewClient(cmd.StringSlice(flagServer), token, transport), nil
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", usageErrorf("the operator token is required; set --%s FILE or VERBENASPUR_TOKEN_FILE", flagToken)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "operator token")
	}
	return strings.TrimSpace(string(b)), nil
}

// oneArgument returns the only argument of a command, or an error if it does not
// have exactly one.
func oneArgument(cmd *cli.Command, description string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageErrorf("exactly one argument is required: %s", description)
	}
	return cmd.Args().First(), nil
}
