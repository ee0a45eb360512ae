package ctl

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestDocumentTable(t *testing.T) {
	is := is.New(t)
	doc := `{"host":"e1","lease":{"held":true,"seenAgo":1500000000},"roots":["a","b"],"none":[],
		"pools":[{"pool":"p","targets":[{"target":"t","load":{"running":2}}],"tags":["x"]},{"pool":"q","size":3}]}`
	var b bytes.Buffer
	documentTable([]byte(doc))(&b)
	want := "host\te1\n" +
		"roots\ta,b\n" +
		"none\t-\n" +
		"lease.held\ttrue\n" +
		"lease.seenAgo\t1.5s\n" +
		"\nPOOLS\n" +
		"pool\ttags\tsize\n" +
		"p\tx\t-\n" +
		"q\t-\t3\n" +
		"\nPOOLS[P].TARGETS\n" +
		"target\tload\n" +
		"t\trunning=2\n"
	is.Equal(b.String(), want)
}
