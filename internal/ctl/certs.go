package ctl

import (
	"context"
	"io"
	"net/netip"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

const (
	flagDir   = "dir"
	flagHosts = "hosts"
)

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:  "certs",
		Usage: "issue the certificates with which daemons authenticate to each other",
		UsageText: "verbenaspurctl certs --dir certs --hosts h1=entry=10.0.0.1,t1=side=10.0.1.1\n" +
			"verbenaspurctl certs --dir certs --hosts h1=entry=10.0.0.1     renews h1",
		Description: "The first call creates a certificate authority in the directory (ca.pem, ca-key.pem);\n" +
			"later calls use it. Copy only ca.pem, HOST.pem and HOST-key.pem to a host. Daemons\n" +
			"load replaced files without a restart.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDir, Usage: "`DIRECTORY` of the certificate authority"},
			&cli.StringSliceFlag{Name: flagHosts, Usage: "`HOST=KIND=IP`, where the kind is entry or side; repeat the flag or separate hosts by commas"},
		},
		Action: runCerts,
	}
}

// hostSpec is one host to issue a certificate for.
type hostSpec struct {
	peer identity.Peer
	addr netip.Addr
}

func runCerts(_ context.Context, cmd *cli.Command) error {
	dir, err := requiredFlag(cmd, flagDir)
	if err != nil {
		return err
	}
	specs, err := parseHosts(cmd.StringSlice(flagHosts))
	if err != nil {
		return err
	}
	authority, err := identity.OpenAuthority(dir)
	if err != nil {
		return err
	}
	issued := make([]identity.Files, 0, len(specs))
	for _, s := range specs {
		files, err := authority.Issue(s.peer, s.addr)
		if err != nil {
			return err
		}
		issued = append(issued, files)
	}
	return print(cmd, issued, func(w io.Writer) {
		row(w, "IDENTITY", "CERTIFICATE", "KEY")
		for i, f := range issued {
			row(w, specs[i].peer, f.Cert, f.Key)
		}
	})
}

func parseHosts(args []string) ([]hostSpec, error) {
	if len(args) == 0 {
		return nil, usageErrorf("flag --%s is required", flagHosts)
	}
	specs := make([]hostSpec, 0, len(args))
	for _, arg := range args {
		parts := strings.Split(strings.TrimSpace(arg), "=")
		if len(parts) != 3 {
			return nil, usageErrorf("%q is not HOST=KIND=IP", arg)
		}
		addr, err := netip.ParseAddr(parts[2])
		if err != nil {
			return nil, usageErrorf("%q: %q is not an IP address", arg, parts[2])
		}
		kind := identity.Kind(parts[1])
		if kind != identity.KindEntry && kind != identity.KindSide {
			return nil, usageErrorf("%q: the kind must be entry or side", arg)
		}
		if !strictyaml.IsName(parts[0]) {
			return nil, usageErrorf("%q: %q is not a host name of lower-case letters, digits, '-' and '.'", arg, parts[0])
		}
		specs = append(specs, hostSpec{identity.Peer{Kind: kind, Host: parts[0]}, addr})
	}
	return specs, nil
}
