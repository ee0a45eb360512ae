package store

import (
	"encoding/json"
	"fmt"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Envelope wraps a stored value with the tokens of the object's last writes.
type Envelope struct {
	// Writers holds the tokens of the last writes, newest first.
	Writers []string        `json:"writers"`
	Body    json.RawMessage `json:"body"`
}

type objectKey struct {
	kind msg.Kind
	name string
}

// versionWriters lists the write tokens of one version of an object.
type versionWriters struct {
	version msg.Version
	writers []string
}

func (c *Client) nextToken() string {
	return fmt.Sprintf("%s/%d/%d", c.tokenPrefix, c.component, c.seq+1)
}

// tokensWith returns the write tokens for the envelope of an object's next
// version. If those of the current version are not known, empty tokens fill
// the list up to its largest length, so that no client takes it for a complete
// history.
func (c *Client) tokensWith(kind msg.Kind, name string, version msg.Version, token string) []string {
	writers := []string{token}
	h, known := c.history[objectKey{kind, name}]
	switch {
	case version == 0:
	case known && h.version == version:
		writers = append(writers, h.writers...)
	default:
		writers = append(writers, make([]string, maxWriters)...)
	}
	return writers[:min(len(writers), maxWriters)]
}

// unwrap replaces the object's value by the body of its envelope. It records
// and returns the write tokens in the envelope.
func (c *Client) unwrap(o msg.Object) (msg.Object, []string) {
	k := objectKey{o.Kind, o.Name}
	if o.Deleted {
		delete(c.history, k)
		return o, nil
	}
	var env Envelope
	if json.Unmarshal(o.Value, &env) != nil {
		return o, nil
	}
	if o.Version >= c.history[k].version {
		c.history[k] = versionWriters{o.Version, env.Writers}
	}
	o.Value = env.Body
	return o, env.Writers
}
