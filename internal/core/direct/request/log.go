package request

import (
	"fmt"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// attr returns one attribute of a log line.
func attr(key string, value any) msg.Attr { return msg.Attr{Key: key, Value: fmt.Sprint(value)} }

// formatMS formats a duration in whole milliseconds.
func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func (s *stepContext) log(text string, attrs ...msg.Attr) {
	s.emit(msg.LogLine{Component: componentName, Text: text, Attrs: attrs})
}

// logRequest logs a line about a request, with the request's ID and the time
// since its arrival.
func (s *stepContext) logRequest(r *request, text string, attrs ...msg.Attr) {
	all := []msg.Attr{
		{Key: "request", Value: r.arrival.CallerID},
		{Key: "age_ms", Value: formatMS(s.now - r.arrivedAt)},
	}
	s.log(text, append(all, attrs...)...)
}
