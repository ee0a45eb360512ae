package load

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// verifyStandin selects the comparison with the responses of the stand-in engine.
const verifyStandin = "standin"

// standinText returns the first n tokens of the stand-in engine's response to a
// prompt. Each token consists of the prompt's hash and the token's number, so that
// a comparison detects tokens of other responses, and repeated or missing ones.
func standinText(prompt string, n int) string {
	var b strings.Builder
	h := uint32(xxhash.Sum64String(prompt))
	for i := range n {
		fmt.Fprintf(&b, "%08x.%d ", h, i)
	}
	return b.String()
}
