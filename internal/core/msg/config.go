package msg

import "time"

// KindConfigText holds the manifests that the configuration object refers to.
const KindConfigText Kind = "config-text"

// ConfigRecord is a configuration with its manifest.
type ConfigRecord struct {
	ConfigHead
	// Manifest is the YAML document.
	Manifest string
}

// ConfigHead describes a configuration. Its sequence number grows with every
// write of the configuration object, its generation with every change of the
// manifest.
type ConfigHead struct {
	Seq        uint64     `cbor:"1,keyasint" json:"seq"`
	Generation Generation `cbor:"2,keyasint" json:"generation"`
	Author     string     `cbor:"3,keyasint" json:"author"`
	At         time.Time  `cbor:"4,keyasint" json:"at"`
	// Digest is the lower-case hex SHA-256 of the manifest.
	Digest string `cbor:"5,keyasint" json:"digest"`
	// VoterSets are sets of entry daemons. The record is accepted once a
	// majority of each set holds it; confirmations come from a majority of
	// the last one.
	VoterSets [][]HostID `cbor:"6,keyasint" json:"electorates"`
	// Previous describes the change before this one, so that its audit object
	// can be made up for where its author's daemon was lost.
	Previous *ConfigChange `cbor:"7,keyasint,omitempty" json:"previous,omitempty"`
}

// ConfigChange describes a change; it is kept as an audit object.
type ConfigChange struct {
	Generation Generation `cbor:"1,keyasint" json:"generation"`
	Author     string     `cbor:"2,keyasint" json:"author"`
	At         time.Time  `cbor:"3,keyasint" json:"at"`
	Digest     string     `cbor:"4,keyasint" json:"digest"`
}

// Change describes how the configuration came about.
func (h *ConfigHead) Change() ConfigChange {
	return ConfigChange{Generation: h.Generation, Author: h.Author, At: h.At, Digest: h.Digest}
}

// ConfigEdit turns one manifest into another; both are named by their digests.
type ConfigEdit struct {
	From string   `cbor:"1,keyasint" json:"from"`
	To   string   `cbor:"2,keyasint" json:"to"`
	Ops  []TextOp `cbor:"3,keyasint" json:"ops"`
	// Compiled turns the compiled form of the one into that of the other,
	// which has the digest CompiledTo. A daemon of another version may
	// compile otherwise and then decodes the manifest itself.
	Compiled   []TextOp `cbor:"4,keyasint" json:"compiled"`
	CompiledTo string   `cbor:"5,keyasint" json:"compiledTo"`
}

// TextOp copies bytes of the old text, or inserts a new text where Len is 0.
type TextOp struct {
	At   int    `cbor:"1,keyasint,omitempty" json:"at,omitempty"`
	Len  int    `cbor:"2,keyasint,omitempty" json:"len,omitempty"`
	Text string `cbor:"3,keyasint,omitempty" json:"text,omitempty"`
}

// ConfigQuery asks an entry daemon for the record that it holds. The sender's
// own is Config.
type ConfigQuery struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Config uint64 `cbor:"2,keyasint"`
}

// ConfigQueryReply answers [ConfigQuery] with the sequence number of the record in
// force at the sender.
type ConfigQueryReply struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Config uint64 `cbor:"2,keyasint"`
}

// ConfigFetch asks for the receiver's configuration because it is newer than
// the sender's. Digest names the sender's manifest; empty asks for the whole.
type ConfigFetch struct {
	Digest string `cbor:"1,keyasint,omitempty"`
}

// ConfigTransfer hands on a configuration: as edits where Whole is not set.
type ConfigTransfer struct {
	Head     ConfigHead   `cbor:"1,keyasint"`
	Edits    []ConfigEdit `cbor:"2,keyasint,omitempty"`
	Whole    bool         `cbor:"3,keyasint,omitempty"`
	Manifest string       `cbor:"4,keyasint,omitempty"`
}

func (ConfigQuery) peerMessage()      {}
func (ConfigQueryReply) peerMessage() {}
func (ConfigFetch) peerMessage()      {}
func (ConfigTransfer) peerMessage()   {}
