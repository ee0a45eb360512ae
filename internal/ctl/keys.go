package ctl

import (
	"context"
	"crypto/rand"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

const (
	flagID      = "id"
	flagOverlap = "overlap"
)

const defaultOverlap = 24 * time.Hour

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create, rotate and withdraw API keys in a manifest",
		Description: "The commands edit the manifest file; verbenaspurctl apply puts it in force. Only the\n" +
			"hash of a key is stored. The key itself is shown once.",
		Commands: []*cli.Command{keysNewCommand(), keysRotateCommand(), keysWithdrawCommand()},
	}
}

func keysNewCommand() *cli.Command {
	return &cli.Command{
		Name:      "new",
		Usage:     "create a key for an account",
		ArgsUsage: "[FILE]",
		UsageText: "verbenaspurctl keys new --account township-a --id township-2 manifest.yaml\n" +
			"verbenaspurctl keys new --id township-2          prints the lines for the manifest",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAccount, Usage: "the client `ACCOUNT`"},
			&cli.StringFlag{Name: flagID, Usage: "`ID` of the new key"},
		},
		Action: runKeysNew,
	}
}

// generatedKey is a new key.
type generatedKey struct {
	// Key is the API key, which contains the only copy of the secret.
	Key string `json:"key"`
	// Stanza is the key's entry in the manifest.
	Stanza manifest.Key `json:"stanza"`
}

func generateKey(id string) (generatedKey, error) {
	if !strictyaml.IsName(id) {
		return generatedKey{}, usageErrorf("%q is not an ID of lower-case letters, digits, '-' and '.'", id)
	}
	var random [apikey.SecretBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return generatedKey{}, errors.Wrap(err, "secret")
	}
	text, hash := apikey.NewKey(id, random)
	return generatedKey{Key: text, Stanza: manifest.Key{ID: id, Hash: hash}}, nil
}

func runKeysNew(_ context.Context, cmd *cli.Command) error {
	id, err := requiredFlag(cmd, flagID)
	if err != nil {
		return err
	}
	key, err := generateKey(id)
	if err != nil {
		return err
	}
	if cmd.Args().Len() == 0 {
		return printKey(cmd, key)
	}
	path, err := oneArgument(cmd, "the manifest")
	if err != nil {
		return err
	}
	account, err := requiredFlag(cmd, flagAccount)
	if err != nil {
		return err
	}
	err = editKeys(path, account, func(list []manifest.Key) ([]manifest.Key, error) {
		return append(list, key.Stanza), nil
	})
	if err != nil {
		return err
	}
	return printKey(cmd, key)
}

func keysRotateCommand() *cli.Command {
	return &cli.Command{
		Name:      "rotate",
		Usage:     "create a key that replaces another one",
		ArgsUsage: "FILE",
		UsageText: "verbenaspurctl keys rotate --id township-1 manifest.yaml",
		Description: "The old key stays valid for the overlap, so that callers can switch to the new one. The\n" +
			"new key's ID is the old key's with its number incremented, or with a number appended.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagID, Usage: "`ID` of the old key"},
			&cli.DurationFlag{Name: flagOverlap, Usage: "how long the old key stays valid", Value: defaultOverlap},
		},
		Action: runKeysRotate,
	}
}

func runKeysRotate(_ context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "the manifest")
	if err != nil {
		return err
	}
	id, err := requiredFlag(cmd, flagID)
	if err != nil {
		return err
	}
	old, index, err := findKey(path, id)
	if err != nil {
		return err
	}
	key, err := generateKey(nextID(index, old.Key.ID))
	if err != nil {
		return err
	}
	end := time.Now().Add(cmd.Duration(flagOverlap)).UTC().Truncate(time.Second)
	err = editKeys(path, old.Account.Name, func(list []manifest.Key) ([]manifest.Key, error) {
		i := slices.IndexFunc(list, func(k manifest.Key) bool { return k.ID == old.Key.ID })
		if list[i].NotAfter.IsZero() || list[i].NotAfter.After(end) {
			list[i].NotAfter = end
		}
		return append(list, key.Stanza), nil
	})
	if err != nil {
		return err
	}
	return printKey(cmd, key)
}

func keysWithdrawCommand() *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "remove a key",
		ArgsUsage: "FILE",
		UsageText: "verbenaspurctl keys withdraw --id township-1 manifest.yaml",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagID, Usage: "`ID` of the key"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			path, err := oneArgument(cmd, "the manifest")
			if err != nil {
				return err
			}
			id, err := requiredFlag(cmd, flagID)
			if err != nil {
				return err
			}
			return withdrawKey(cmd, path, id)
		},
	}
}

func withdrawKey(cmd *cli.Command, path, id string) error {
	ref, _, err := findKey(path, id)
	if err != nil {
		return err
	}
	err = editKeys(path, ref.Account.Name, func(list []manifest.Key) ([]manifest.Key, error) {
		return slices.DeleteFunc(list, func(k manifest.Key) bool { return k.ID == id }), nil
	})
	if err != nil {
		return err
	}
	row(cmd.Root().Writer, "withdrawn from "+path+"; the key stays valid until the manifest is applied")
	return nil
}

// findKey returns a key of the manifest at path, with the index of that manifest.
func findKey(path, id string) (manifest.KeyRef, *manifest.Index, error) {
	m, _, err := readManifest(path)
	if err != nil {
		return manifest.KeyRef{}, nil, err
	}
	index := manifest.NewIndex(m)
	key, ok := index.Key(id)
	if !ok {
		return manifest.KeyRef{}, nil, exitErrorf(exitNotFound, "no key has the id %q in %s", id, path)
	}
	return key, index, nil
}

func printKey(cmd *cli.Command, k generatedKey) error {
	return print(cmd, k, func(w io.Writer) {
		row(w, "key (shown once):", k.Key)
		row(w, "manifest:", "- {id: "+k.Stanza.ID+", hash: \""+k.Stanza.Hash+"\"}")
	})
}
