// Package report compares the results of load runs in tables and plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/load"
)

// Run is the result of one load run, with its name.
type Run struct {
	Name   string
	Result *load.Result
}

// Read reads result files. Each run has the name of its file without the
// extension.
func Read(paths []string) ([]Run, error) {
	runs := make([]Run, 0, len(paths))
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "report")
		}
		var r load.Result
		if err := json.Unmarshal(b, &r); err != nil {
			return nil, errors.Wrapf(err, "report: %s", path)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		runs = append(runs, Run{Name: name, Result: &r})
	}
	return runs, nil
}

// WriteTable writes the comparison as a Markdown table.
func WriteTable(w io.Writer, runs []Run) error {
	var b strings.Builder
	b.WriteString("| run | requests | done | good | not run | unknown | broken | foreign | first token p50 / p95 / p99 ms | between tokens p50 / p95 ms | worst account, good |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, run := range runs {
		writeRow(&b, run)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "report")
}

func writeRow(b *strings.Builder, run Run) {
	t := &run.Result.Total
	fmt.Fprintf(b, "| %s | %d | %s | %s | %d | %d | %d | %d | %.0f / %.0f / %.0f | %.1f / %.1f | %s |\n",
		run.Name, t.Requests, percentage(t.Done, t.Requests), percentage(t.Good, t.Requests),
		t.Outcomes[load.OutcomeNotRun], t.Outcomes[load.OutcomeUnknown],
		t.Outcomes[load.OutcomeBroken], t.Outcomes[load.OutcomeForeign],
		t.FirstToken.P50, t.FirstToken.P95, t.FirstToken.P99, t.BetweenTokens.P50, t.BetweenTokens.P95, worstAccount(run.Result.Accounts))
}

func percentage(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

// worstAccount returns the name and percentage of the account with the lowest
// share of good responses.
func worstAccount(accounts []load.Group) string {
	name, lowest := "-", 2.0
	for _, a := range accounts {
		if s := float64(a.Good) / float64(max(a.Requests, 1)); a.Requests > 0 && s < lowest {
			name, lowest = a.Name, s
		}
	}
	if lowest > 1 {
		return "-"
	}
	return fmt.Sprintf("%s %.1f%%", name, 100*lowest)
}
