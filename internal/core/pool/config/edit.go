package config

import (
	"strings"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// diff returns the operations that turn one text into another, line by line.
// Lines of the old text are copied wherever they are found. The result is
// correct for any two texts, and small for similar ones.
func diff(from, to string) []msg.TextOp {
	d := differ{from: from, lines: make(map[string][]int)}
	at := 0
	for line := range strings.Lines(from) {
		d.lines[line] = append(d.lines[line], at)
		at += len(line)
	}
	for line := range strings.Lines(to) {
		d.addLine(line)
	}
	return d.ops
}

// differ builds the operations of a diff.
type differ struct {
	from  string
	lines map[string][]int
	// next is the position in the old text after the last copied line.
	next int
	ops  []msg.TextOp
}

// addLine adds one line of the new text.
func (d *differ) addLine(line string) {
	if !strings.HasPrefix(d.from[d.next:], line) {
		at, ok := d.findLine(line)
		if !ok {
			d.addInsert(line)
			return
		}
		d.next = at
	}
	d.addCopy(d.next, len(line))
	d.next += len(line)
}

// findLine returns the first position of a line at or after the present
// position in the old text, or else its first position.
func (d *differ) findLine(line string) (int, bool) {
	places := d.lines[line]
	for _, at := range places {
		if at >= d.next {
			return at, true
		}
	}
	if len(places) == 0 {
		return 0, false
	}
	return places[0], true
}

func (d *differ) addCopy(at, n int) {
	if last := len(d.ops) - 1; last >= 0 && d.ops[last].Len > 0 && d.ops[last].At+d.ops[last].Len == at {
		d.ops[last].Len += n
		return
	}
	d.ops = append(d.ops, msg.TextOp{At: at, Len: n})
}

func (d *differ) addInsert(line string) {
	if last := len(d.ops) - 1; last >= 0 && d.ops[last].Len == 0 {
		d.ops[last].Text += line
		return
	}
	d.ops = append(d.ops, msg.TextOp{Text: line})
}

// apply applies operations to a text. It returns false if they refer to bytes
// outside of it.
func apply(text string, ops []msg.TextOp) (string, bool) {
	var b strings.Builder
	for _, op := range ops {
		switch {
		case op.Len == 0:
			b.WriteString(op.Text)
		case op.At < 0 || op.Len < 0 || op.At > len(text) || op.Len > len(text)-op.At:
			return "", false
		default:
			b.WriteString(text[op.At : op.At+op.Len])
		}
	}
	return b.String(), true
}

// encodedSize returns the approximate size of an encoded edit in bytes.
func encodedSize(e msg.ConfigEdit) int {
	const perEdit, perOp = 240, 30
	n := perEdit
	for _, op := range e.Ops {
		n += perOp + len(op.Text)
	}
	for _, op := range e.Compiled {
		n += perOp + len(op.Text)
	}
	return n
}

// lastIndexFrom returns the index of the last edit that starts from a digest,
// or -1.
func lastIndexFrom(edits []msg.ConfigEdit, digest string) int {
	for i := len(edits) - 1; i >= 0; i-- {
		if edits[i].From == digest {
			return i
		}
	}
	return -1
}

// lastWithin returns as many of the last edits as stay within a maximum number
// and a maximum total size.
func lastWithin(edits []msg.ConfigEdit, number, size int) []msg.ConfigEdit {
	start := len(edits)
	for start > 0 && len(edits)-start < number {
		size -= encodedSize(edits[start-1])
		if size < 0 {
			break
		}
		start--
	}
	return edits[start:]
}
