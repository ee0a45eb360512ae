package story

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const log = `{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request: refused","request":"r1","code":"overloaded"}
no JSON at all
   7.2 front-1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"request: placed","request":"r1","target":"t","losers":""}
{"time":"2026-01-01T00:00:03Z","msg":"request: placed","request":"r12"}
{"time":"2026-01-01T00:00:03Z","msg":"request: placed","note":"r1"}
{"request":"r1"
`

func TestLinesOfOneRequestInOrderOfTime(t *testing.T) {
	is := is.New(t)
	lines, err := Read("a.log", strings.NewReader(log), "r1")
	is.NoErr(err)
	Sort(lines)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Format(), "2026-01-01T00:00:01Z  a.log  request: placed  target=t")
	is.Equal(lines[1].Values, []string{"code=overloaded"})
}
