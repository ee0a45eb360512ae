package capacity

import (
	"fmt"
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
)

const (
	modelName    = "model-0"
	modelVersion = "v1"
	// models is the number of models that are in use at the same time.
	models         = 4
	keysPerAccount = 2
	// secret is the secret of all API keys.
	secret = "measurement"
)

// Manifest returns the manifest of a deployment of the given size.
func Manifest(size Size) []byte {
	var b strings.Builder
	b.WriteString("apiVersion: verbenaspur/v1\ndeployment: capacity\nregions:\n")
	for r := range regions {
		fmt.Fprintf(&b, "  - {name: region-%d, failureDomains: [fd-%d, fd-%d]}\n", r, r, r+regions)
	}
	b.WriteString("models:\n")
	for m := range models {
		fmt.Fprintf(&b, "  - {name: model-%d, version: %s}\n", m, modelVersion)
	}
	fmt.Fprintf(&b, "pools:\n  - name: %s\n    kind: engines\n    model: %s\n    shape:\n", pool, modelName)
	for d := range domains {
		fmt.Fprintf(&b, "      - {failureDomain: fd-%d, min: 0, max: %d}\n", d, size.Targets)
	}
	b.WriteString("routes:\n")
	fmt.Fprintf(&b, "  - {name: chat, pool: %s, access: keyed, class: ordinary, timeout: 1m, queueTimeout: 10s}\n", pool)
	b.WriteString("accounts:\n")
	for a := range size.Accounts {
		writeAccount(&b, a)
	}
	return []byte(b.String())
}

// writeAccount writes the a-th account of the manifest.
func writeAccount(b *strings.Builder, a int) {
	fmt.Fprintf(b, "  - name: %s\n    weight: %d\n    limits: {concurrent: 64, queued: 256}\n    keys:\n", accountName(a), 1+a%5)
	for k := range keysPerAccount {
		id := keyID(a, k)
		digest := apikey.Digest(id, secret)
		fmt.Fprintf(b, "      - {id: %s, hash: \"%x\"}\n", id, digest)
	}
}

func accountName(a int) string { return fmt.Sprintf("account-%04d", a) }

func keyID(a, k int) string { return fmt.Sprintf("key-%04d-%d", a, k) }
