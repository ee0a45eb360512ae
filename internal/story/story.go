// Package story extracts the log lines about one request from the logs of entry
// daemons.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the largest size of a log line.
const maxLineBytes = 1 << 20

// Line is a log line about a request.
type Line struct {
	// Time is the time in the log line, from the wall clock of its daemon.
	Time string `json:"time"`
	// Source names the log that contains the line.
	Source string `json:"source"`
	// Text is the log message.
	Text string `json:"text"`
	// Values holds the attributes of the line as NAME=VALUE, sorted by name. It
	// contains only non-empty strings.
	Values []string `json:"values"`
}

// Read returns the lines of a log whose request attribute is id. Text before the
// JSON of a line is ignored, and so are lines without valid JSON.
func Read(source string, r io.Reader, id string) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if l, ok := parseLine(scan.Bytes(), id); ok {
			l.Source = source
			out = append(out, l)
		}
	}
	return out, errors.Wrap(scan.Err(), source)
}

// parseLine parses a log line and reports whether it is about the request id.
func parseLine(b []byte, id string) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 || !bytes.Contains(b, []byte(id)) {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[i:], &fields) != nil || fields["request"] != id {
		return Line{}, false
	}
	l := Line{}
	l.Time, _ = fields["time"].(string)
	l.Text, _ = fields["msg"].(string)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value, ok := fields[name].(string)
		if !ok || value == "" || name == "time" || name == "msg" || name == "level" || name == "request" {
			continue
		}
		l.Values = append(l.Values, name+"="+value)
	}
	return l, true
}

// Sort sorts the lines of several logs by time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
}

// Format returns the line in human-readable form.
func (l Line) Format() string {
	return l.Time + "  " + l.Source + "  " + l.Text + "  " + strings.Join(l.Values, " ")
}
