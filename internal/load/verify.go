package load

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// verifyStandin selects the check against the stand-in engine's answers.
const verifyStandin = "standin"

// standinAnswer returns the first n tokens that the stand-in engine answers to
// a prompt: the prompt's hash and the token's number, so that a token of
// another answer, or one repeated or left out, shows.
func standinAnswer(prompt string, n int) string {
	var b strings.Builder
	h := uint32(xxhash.Sum64String(prompt))
	for i := range n {
		fmt.Fprintf(&b, "%08x.%d ", h, i)
	}
	return b.String()
}
