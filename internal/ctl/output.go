package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// print writes v in the format that the command line selects. The function
// table writes the table format. If it is nil, YAML is written instead of a table.
func print(cmd *cli.Command, v any, table func(io.Writer)) error {
	w := cmd.Root().Writer
	format := cmd.String(flagOutput)
	if format == formatTable && table != nil {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		table(tw)
		return tw.Flush()
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "output")
	}
	if format != formatJSON {
		if b, err = yaml.JSONToYAML(b); err != nil {
			return errors.Wrap(err, "output")
		}
	}
	_, err = fmt.Fprintln(w, strings.TrimSpace(string(b)))
	return errors.Wrap(err, "output")
}

// row writes one line of a table, with tabs between the cells.
func row(w io.Writer, cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(text, "\t"))
}

// documentTable returns a function that writes any JSON document for people: first
// its plain fields, then each list of objects as a table.
func documentTable(doc json.RawMessage) func(io.Writer) {
	return func(w io.Writer) {
		v, err := orderedJSON(doc)
		if err != nil {
			row(w, string(doc))
			return
		}
		writeValue(w, "", v)
	}
}

// field is one field of a JSON object, in the order of the document.
type field struct {
	name  string
	value any
}

// orderedJSON decodes JSON and keeps the order of fields. Objects are decoded to
// []field.
func orderedJSON(doc []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.UseNumber()
	return orderedValue(dec)
}

func orderedValue(dec *json.Decoder) (any, error) {
	tok, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch tok {
	case json.Delim('{'):
		return orderedObject(dec)
	case json.Delim('['):
		return orderedList(dec)
	}
	return tok, nil
}

func orderedObject(dec *json.Decoder) (any, error) {
	fields := []field{}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		v, err := orderedValue(dec)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field{fmt.Sprint(name), v})
	}
	_, err := dec.Token()
	return fields, err
}

func orderedList(dec *json.Decoder) (any, error) {
	list := []any{}
	for dec.More() {
		v, err := orderedValue(dec)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := dec.Token()
	return list, err
}

func writeValue(w io.Writer, path string, v any) {
	switch v := v.(type) {
	case []field:
		writeFields(w, path, v)
	case []any:
		writeList(w, path, v)
	default:
		row(w, path, cellText(path, v))
	}
}

// writeFields writes the plain fields of an object, then the nested ones.
func writeFields(w io.Writer, path string, fields []field) {
	for _, nested := range []bool{false, true} {
		for _, f := range fields {
			if isNested(f.value) == nested {
				writeValue(w, joinPath(path, f.name), f.value)
			}
		}
	}
}

// writeList writes a list of objects as a table, followed by separate tables for
// the lists in the objects.
func writeList(w io.Writer, path string, list []any) {
	if !isObjectList(list) {
		row(w, path, cellText(path, list))
		return
	}
	columns := tableColumns(list)
	row(w)
	row(w, strings.ToUpper(path))
	header := make([]any, len(columns))
	for i, c := range columns {
		header[i] = c
	}
	row(w, header...)
	for _, v := range list {
		writeObject(w, columns, v)
	}
	for _, v := range list {
		writeNestedLists(w, path, v)
	}
}

// tableColumns returns the names of the fields that become columns of the table of
// a list: all but lists of objects, which become tables of their own. A list that
// is the only field of its object is a column.
func tableColumns(list []any) []string {
	var columns []string
	for _, v := range list {
		fields, _ := v.([]field)
		for _, f := range fields {
			if inner, ok := f.value.([]any); ok && isObjectList(inner) && len(fields) > 1 {
				continue
			}
			if !slices.Contains(columns, f.name) {
				columns = append(columns, f.name)
			}
		}
	}
	return columns
}

// writeNestedLists writes the lists of objects in one object of a list as tables.
func writeNestedLists(w io.Writer, path string, v any) {
	fields, _ := v.([]field)
	for _, f := range fields {
		if inner, ok := f.value.([]any); ok && isObjectList(inner) && len(fields) > 1 {
			writeList(w, fmt.Sprintf("%s[%s].%s", path, cellText("", fields[0].value), f.name), inner)
		}
	}
}

// writeObject writes one object of a list as a row of the table.
func writeObject(w io.Writer, columns []string, v any) {
	fields, _ := v.([]field)
	cells := make([]any, len(columns))
	for i, c := range columns {
		cells[i] = "-"
		for _, f := range fields {
			if f.name == c {
				cells[i] = cellText(f.name, f.value)
			}
		}
	}
	row(w, cells...)
}

// isNested reports whether a value is an object or a list of objects.
func isNested(v any) bool {
	if list, ok := v.([]any); ok {
		return isObjectList(list)
	}
	_, ok := v.([]field)
	return ok
}

func isObjectList(list []any) bool {
	if len(list) == 0 {
		return false
	}
	_, ok := list[0].([]field)
	return ok
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// agoSuffix is the suffix of the names of fields that contain durations in
// nanoseconds.
const agoSuffix = "Ago"

// cellText formats the value of a field on one line.
func cellText(name string, v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case json.Number:
		if ns, err := v.Int64(); err == nil && strings.HasSuffix(name, agoSuffix) {
			return time.Duration(ns).Round(time.Millisecond).String()
		}
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = cellText(name, e)
		}
		if len(parts) == 0 {
			return "-"
		}
		return strings.Join(parts, ",")
	case []field:
		parts := make([]string, len(v))
		for i, f := range v {
			parts[i] = f.name + "=" + cellText(f.name, f.value)
		}
		return strings.Join(parts, " ")
	}
	return fmt.Sprint(v)
}
