package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/capacity"
	"github.com/verbenaspur/verbenaspur/internal/identity"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/operator"
	"github.com/verbenaspur/verbenaspur/internal/standin/platform"
)

const (
	// defaultOver is the default duration of the measurement.
	defaultOver = 20 * time.Second
	// settleTime is the time between the application of the manifest and the
	// measurement.
	settleTime = 15 * time.Second
	// waitLimit limits the wait for the process ID and for the application of the
	// manifest.
	waitLimit = time.Minute

	platformAddr = "127.0.0.1:7900"
	daemonHTTP   = "127.0.0.1:7901"
	daemonIP     = "127.0.0.1"
	// token is the operator token.
	token = "measure"
)

// measureDaemon prepares settings and stand-in peers, waits until the daemon's
// process ID appears in the file daemon.pid, and measures the daemon.
func measureDaemon(ctx context.Context, cmd *cli.Command) error {
	size := capacity.Target.Scale(cmd.Float(flagShare))
	dir := cmd.String(flagDir)
	authority, err := identity.OpenAuthority(filepath.Join(dir, "certs"))
	if err != nil {
		return err
	}
	peers, err := capacity.StartPeers(authority, size)
	if err != nil {
		return err
	}
	defer peers.Close()
	if err := servePlatform(peers); err != nil {
		return err
	}
	if err := writeSettings(authority, dir); err != nil {
		return err
	}
	pid, err := awaitPID(filepath.Join(dir, "daemon.pid"))
	if err != nil {
		return err
	}
	if err := applyManifest(ctx, size, cmd.Bool(flagCanonical)); err != nil {
		return err
	}
	time.Sleep(settleTime)
	cost, err := capacity.SampleDaemon(pid, &peers.Traffic, cmd.Duration(flagOver))
	if err != nil {
		return err
	}
	return capacity.Write(os.Stdout, cost.Points(size, manifestForm(cmd.Bool(flagCanonical))))
}

// servePlatform starts a stand-in of the platform that lists the peers and the
// measured daemon.
func servePlatform(peers *capacity.Peers) error {
	p := platform.New()
	self := platform.Host{Host: "daemon", Addr: daemonIP, FailureDomain: "fd-0", Region: "region-0", Kind: "entry", State: "live"}
	p.SetHosts(append(peers.Hosts, self))
	srv := &http.Server{Addr: platformAddr, Handler: p, ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- srv.ListenAndServe() }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "platform stand-in")
	case <-time.After(time.Second):
		return nil
	}
}

// writeSettings issues a certificate and then writes daemon.yaml. The appearance of
// this file signals that everything is ready.
func writeSettings(a *identity.Authority, dir string) error {
	files, err := a.Issue(identity.Peer{Kind: identity.KindEntry, Host: "daemon"}, netip.MustParseAddr(daemonIP))
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`role: entry
host: daemon
failureDomain: fd-0
region: region-0
listen: {http: "%s", link: "%s:%d"}
platform: {objects: "http://%[4]s", targets: "http://%[4]s", usage: "http://%[4]s", hosts: "http://%[4]s"}
tls: {ca: %q, cert: %q, key: %q}
operators:
  - {name: measure, tokenHash: %q}
`, daemonHTTP, daemonIP, capacity.LinkPort, platformAddr, files.CA, files.Cert, files.Key, tokenHash())
	path := filepath.Join(dir, "daemon.yaml")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.Rename(path+".new", path), "settings")
}

// awaitPID waits until a file with a process ID appears, for at most waitLimit.
func awaitPID(path string) (int, error) {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		return strconv.Atoi(strings.TrimSpace(string(b)))
	}
	return 0, errors.Newf("file %s did not appear in time", path)
}

// applyManifest proposes the manifest until the daemon has accepted or written it,
// for at most waitLimit.
func applyManifest(ctx context.Context, size capacity.Size, canonical bool) error {
	text := capacity.Manifest(size)
	m, err := manifest.Decode(text)
	if err != nil {
		return err
	}
	if canonical {
		if text, err = manifest.Encode(m); err != nil {
			return err
		}
	}
	client := operator.NewClient([]string{"http://" + daemonHTTP}, token, http.DefaultTransport)
	var last error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		result, err := client.Apply(ctx, operator.Proposal{Manifest: string(text)})
		if err == nil && (result.Status == operator.StatusAccepted || result.Status == operator.StatusWritten) {
			fmt.Fprintln(os.Stderr, "measure: manifest", result.Status)
			return nil
		}
		last = errors.CombineErrors(err, errors.Newf("manifest was not applied: status %s, reason %q", result.Status, result.Reason))
	}
	return last
}

// manifestForm returns the name of the manifest's form in results.
func manifestForm(canonical bool) string {
	if canonical {
		return "canonical manifest"
	}
	return "YAML manifest"
}

// tokenHash returns the hash of the operator token for the settings.
func tokenHash() string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
