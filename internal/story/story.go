// Package story finds what log lines of entry daemons tell of one request.
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

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Line is a log line about a request.
type Line struct {
	// Time is the writer's wall clock as written.
	Time string `json:"time"`
	// Source is the log that holds the line.
	Source string `json:"source"`
	Text   string `json:"text"`
	// Values holds the line's named values as NAME=VALUE, in order of name.
	Values []string `json:"values"`
}

// Read returns the lines of a log that name a request. A log may hold other
// text before a line's JSON, and lines that are none: these are passed over.
func Read(source string, r io.Reader, id string) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := parse(scan.Bytes(), id); ok {
			l.Source = source
			out = append(out, l)
		}
	}
	return out, errors.Wrap(scan.Err(), source)
}

func parse(b []byte, id string) (Line, bool) {
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

// Sort puts lines of several logs in order of time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
}

// Format returns a line for people.
func (l Line) Format() string {
	return l.Time + "  " + l.Source + "  " + l.Text + "  " + strings.Join(l.Values, " ")
}
