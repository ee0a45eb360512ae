package report

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/load"
)

// newSampleResult returns the result of 100 requests with the given number of
// good responses. Account a has one more of them, account b one fewer. The times
// to the first token are 1 ms, 2 ms and so on to 100 ms.
func newSampleResult(t *testing.T, good int) *load.Result {
	h := hdrhistogram.New(1, 1e9, 3)
	for i := range 100 {
		is.New(t).NoErr(h.RecordValue(int64(i+1) * 1000))
	}
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	is.New(t).NoErr(err)
	group := func(name string, good int) load.Group {
		return load.Group{
			Name: name, Summary: load.Summary{Requests: 100, Done: 90, Good: good},
			Outcomes:   map[load.Outcome]int{load.OutcomeNotRun: 10},
			FirstToken: load.Latency{Count: 100, P50: 50, P95: 95, P99: 99, HDR: string(b)},
		}
	}
	return &load.Result{
		Total: group("total", good), Accounts: []load.Group{group("a", good+1), group("b", good-1)},
		Series: []load.Second{{At: 0, Summary: load.Summary{Good: 10}}, {At: 1, Summary: load.Summary{Good: 20}}},
	}
}

func TestWriteTable(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(WriteTable(&b, []Run{{"one", newSampleResult(t, 80)}, {"two", newSampleResult(t, 60)}}))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	is.Equal(len(lines), 4)
	is.Equal(lines[3], "| two | 100 | 90.0% | 60.0% | 10 | 0 | 0 | 0 | 50 / 95 / 99 | 0.0 / 0.0 | b 59.0% |")
}

func TestWritePlots(t *testing.T) {
	for _, format := range []string{"png", "svg"} {
		is := is.New(t)
		dir := t.TempDir()
		files, err := WritePlots(dir, format, []Run{{"one", newSampleResult(t, 80)}, {"two", newSampleResult(t, 60)}})
		is.NoErr(err)
		is.Equal(len(files), 2)
		b, err := os.ReadFile(filepath.Join(dir, "first-token."+format))
		is.NoErr(err)
		is.True(len(b) > 1000)
	}
	is := is.New(t)
	line, err := quantileLine(newSampleResult(t, 80).Total.FirstToken)
	is.NoErr(err)
	is.True(line[49].Y > 49.9 && line[49].Y < 50.1)
	is.Equal(goodputLine(newSampleResult(t, 80).Series)[1].Y, 15.0)
}
