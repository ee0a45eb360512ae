package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/operator"
	"github.com/verbenaspur/verbenaspur/internal/settings"
)

const (
	flagBase     = "base"
	flagWait     = "wait"
	flagExitCode = "exit-code"
	flagSettings = "settings"
)

const (
	defaultWait = 30 * time.Second
	// readBackInterval is the interval between attempts to read back a proposal
	// whose response was lost.
	readBackInterval = 500 * time.Millisecond
)

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a manifest, or the settings of a daemon, without applying it",
		ArgsUsage: "FILE",
		UsageText: "verbenaspurctl validate manifest.yaml\n" +
			"verbenaspurctl validate --settings entry.yaml",
		Flags: []cli.Flag{&cli.BoolFlag{Name: flagSettings, Usage: "the file contains the settings of a daemon"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			path, err := oneArgument(cmd, "the file")
			if err != nil {
				return err
			}
			if cmd.Bool(flagSettings) {
				_, err = settings.Load(path)
			} else {
				_, _, err = readManifest(path)
			}
			if err != nil {
				return err
			}
			row(cmd.Root().Writer, path+" is valid")
			return nil
		},
	}
}

func canonicalCommand() *cli.Command {
	return &cli.Command{
		Name:      "canonical",
		Usage:     "print a manifest in the form that daemons decode fastest",
		ArgsUsage: "FILE",
		UsageText: "verbenaspurctl canonical manifest.yaml > manifest.json",
		Description: "The canonical form is JSON on one line, without comments. It is valid YAML, has the\n" +
			"same meaning as the original and can be applied like any manifest.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			path, err := oneArgument(cmd, "the manifest")
			if err != nil {
				return err
			}
			m, _, err := readManifest(path)
			if err != nil {
				return err
			}
			b, err := manifest.Encode(m)
			if err != nil {
				return err
			}
			_, err = cmd.Root().Writer.Write(b)
			return errors.Wrap(err, "output")
		},
	}
}

// readManifest reads a manifest from a file. It also returns the text of the file.
func readManifest(path string) (*manifest.Manifest, []byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "manifest")
	}
	m, err := manifest.Decode(b)
	return m, b, errors.Wrap(err, path)
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a manifest would change",
		ArgsUsage: "[OLD] NEW",
		UsageText: "verbenaspurctl diff manifest.yaml            compares with the one in force\n" +
			"verbenaspurctl diff -o json old.yaml new.yaml",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: flagExitCode, Usage: "exit with code 10 if the manifests differ"}},
		Action: runDiff,
	}
}

func runDiff(ctx context.Context, cmd *cli.Command) error {
	from, to, err := manifestsToDiff(ctx, cmd)
	if err != nil {
		return err
	}
	changes, err := manifest.Diff(from, to)
	if err != nil {
		return err
	}
	if changes == nil {
		changes = []manifest.Change{}
	}
	if err := print(cmd, changes, changeTable(changes)); err != nil {
		return err
	}
	if cmd.Bool(flagExitCode) && len(changes) > 0 {
		return exitErrorf(exitDiffers, "")
	}
	return nil
}

// manifestsToDiff returns the two manifests that the command line selects: two
// files, or the manifest in force and one file.
func manifestsToDiff(ctx context.Context, cmd *cli.Command) (from, to *manifest.Manifest, err error) {
	args := cmd.Args()
	switch args.Len() {
	case 1:
		from, err = manifestInForce(ctx, cmd)
	case 2:
		from, _, err = readManifest(args.First())
	default:
		return nil, nil, usageErrorf("one manifest to compare with the one in force, or two manifests, are required")
	}
	if err != nil {
		return nil, nil, err
	}
	to, _, err = readManifest(args.Get(args.Len() - 1))
	return from, to, err
}

// manifestInForce returns the manifest in force, which is empty if no manifest has
// been applied yet.
func manifestInForce(ctx context.Context, cmd *cli.Command) (*manifest.Manifest, error) {
	client, err := newClient(cmd)
	if err != nil {
		return nil, err
	}
	cfg, err := client.Config(ctx)
	if err != nil {
		return nil, err
	}
	if cfg.Generation == 0 {
		return &manifest.Manifest{}, nil
	}
	m, err := manifest.Decode([]byte(cfg.Manifest))
	return m, errors.Wrap(err, "the manifest in force")
}

func changeTable(changes []manifest.Change) func(io.Writer) {
	return func(w io.Writer) {
		if len(changes) == 0 {
			row(w, "no difference")
		}
		for _, c := range changes {
			switch c.Kind {
			case manifest.ChangeAdd:
				row(w, "+ "+c.Path, string(c.New))
			case manifest.ChangeRemove:
				row(w, "- "+c.Path, string(c.Old))
			default:
				row(w, "~ "+c.Path, fmt.Sprintf("%s -> %s", c.Old, c.New))
			}
		}
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a manifest in force",
		ArgsUsage: "FILE",
		UsageText: "verbenaspurctl apply manifest.yaml\n" +
			"verbenaspurctl apply --base 41 manifest.yaml     only if generation 41 is in force",
		Description: "The manifest is accepted or rejected as a whole. \"accepted\" means that it is in force\n" +
			"everywhere; \"written\" that it is stored, but not yet confirmed to be in force.\n\n" + exitCodeHelp,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagBase, Usage: "the `GENERATION` on which the manifest is based (default: the one in force)"},
			&cli.DurationFlag{Name: flagWait, Usage: "longest wait for the result", Value: defaultWait},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "the manifest")
	if err != nil {
		return err
	}
	_, text, err := readManifest(path)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	p := operator.Proposal{Base: cmd.Uint64(flagBase), Manifest: string(text)}
	if !cmd.IsSet(flagBase) {
		cfg, err := client.Config(ctx)
		if err != nil {
			return err
		}
		p.Base = cfg.Generation
	}
	result, err := propose(ctx, client, p)
	if err != nil {
		return err
	}
	return printResult(cmd, p, result)
}

// propose sends a proposal. If the response is lost, it does not send the proposal
// again, but reads the configuration until that shows the result or the context
// ends.
func propose(ctx context.Context, client *operator.Client, p operator.Proposal) (operator.Result, error) {
	result, err := client.Apply(ctx, p)
	if !errors.Is(err, operator.ErrOutcomeUnknown) {
		return result, err
	}
	for {
		result, _ = client.CheckWritten(ctx, p)
		if result.Status != operator.StatusUnknown {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(readBackInterval):
		}
	}
}

// printResult prints the result of a proposal. It returns an error with advice and
// the exit code unless the proposal was accepted.
func printResult(cmd *cli.Command, p operator.Proposal, r operator.Result) error {
	err := print(cmd, r, func(w io.Writer) {
		row(w, fmt.Sprintf("%s: generation %d", r.Status, r.Generation))
	})
	if err != nil {
		return err
	}
	code := statusExitCode(r.Status)
	if code == exitOK {
		return nil
	}
	return exitErrorf(code, "%s", resultAdvice(p, r))
}

// resultAdvice returns the message for a result, with advice to the operator.
func resultAdvice(p operator.Proposal, r operator.Result) string {
	text := string(r.Status)
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	switch r.Status {
	case operator.StatusWritten:
		return text + "\nThe manifest is stored and can't be lost, but not every entry daemon is known to use it. See verbenaspurctl status."
	case operator.StatusConflict:
		return text + fmt.Sprintf("\nGeneration %d is no longer in force. Nothing changed. See verbenaspurctl history and diff, then apply again.", p.Base)
	case operator.StatusUnavailable:
		return text + "\nThe platform did not store the manifest. Nothing changed. Apply it again when the platform's object API answers."
	case operator.StatusUnknown:
		return text + "\nThe manifest may have been written. See verbenaspurctl history before you apply it again."
	}
	return text
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the changes of the configuration",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := newClient(cmd)
			if err != nil {
				return err
			}
			h, err := client.History(ctx)
			if err != nil {
				return err
			}
			return print(cmd, h, func(w io.Writer) {
				row(w, "GENERATION", "AT", "AUTHOR", "DIGEST")
				for _, c := range h.Changes {
					row(w, c.Generation, c.At.UTC().Format(time.RFC3339), c.Author, c.Digest)
				}
			})
		},
	}
}
