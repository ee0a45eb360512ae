package directrequest

import (
	"fmt"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// attr is one value of a log line.
func attr(key string, value any) msg.Attr { return msg.Attr{Key: key, Value: fmt.Sprint(value)} }

// ms formats a duration in whole milliseconds.
func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func (s *step) log(text string, attrs ...msg.Attr) {
	s.emit(msg.LogLine{Component: partName, Text: text, Attrs: attrs})
}

// logRequest writes a line about a request: its id, and how long it is here.
func (s *step) logRequest(r *request, text string, attrs ...msg.Attr) {
	all := []msg.Attr{
		{Key: "request", Value: r.arrived.CallerID},
		{Key: "age_ms", Value: ms(s.now - r.since)},
	}
	s.log(text, append(all, attrs...)...)
}
