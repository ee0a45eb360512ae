package msg

import "time"

// KindConfigText is the kind of the objects that hold the manifests to which
// the configuration object refers.
const KindConfigText Kind = "config-text"

// ConfigRecord is a complete configuration: its metadata and its manifest.
type ConfigRecord struct {
	ConfigHead
	// Manifest is the YAML document.
	Manifest string
}

// ConfigHead is the metadata of a configuration. Seq increases with every write
// of the configuration object, Generation with every change of the manifest.
type ConfigHead struct {
	Seq        uint64     `cbor:"1,keyasint" json:"seq"`
	Generation Generation `cbor:"2,keyasint" json:"generation"`
	Author     string     `cbor:"3,keyasint" json:"author"`
	At         time.Time  `cbor:"4,keyasint" json:"at"`
	// Digest is the lower-case hex SHA-256 of the manifest.
	Digest string `cbor:"5,keyasint" json:"digest"`
	// VoterSets are sets of entry daemons, which are called voters. Stored
	// records call a voter set an electorate. There is more than one set while
	// the voters change. The record is accepted once a majority of each set holds
	// it. A majority of the last set is enough to confirm that the record is the
	// newest.
	VoterSets [][]HostID `cbor:"6,keyasint" json:"electorates"`
	// Previous describes the change before this one. With it, another daemon can
	// write that change's audit object if the daemon that made the change was
	// lost before writing it.
	Previous *ConfigChange `cbor:"7,keyasint,omitempty" json:"previous,omitempty"`
}

// ConfigChange describes a change of the configuration. It is stored as an
// audit object.
type ConfigChange struct {
	Generation Generation `cbor:"1,keyasint" json:"generation"`
	Author     string     `cbor:"2,keyasint" json:"author"`
	At         time.Time  `cbor:"3,keyasint" json:"at"`
	Digest     string     `cbor:"4,keyasint" json:"digest"`
}

// Change returns the change that produced the configuration.
func (h *ConfigHead) Change() ConfigChange {
	return ConfigChange{Generation: h.Generation, Author: h.Author, At: h.At, Digest: h.Digest}
}

// ConfigEdit is a delta from one manifest to another. From and To are their
// digests.
type ConfigEdit struct {
	From string   `cbor:"1,keyasint" json:"from"`
	To   string   `cbor:"2,keyasint" json:"to"`
	Ops  []TextOp `cbor:"3,keyasint" json:"ops"`
	// Compiled is the delta between the compiled forms of the two manifests, and
	// CompiledTo the digest of the resulting form. A daemon of another version
	// may compile a manifest differently. It then finds another digest and
	// decodes the YAML text itself.
	Compiled   []TextOp `cbor:"4,keyasint" json:"compiled"`
	CompiledTo string   `cbor:"5,keyasint" json:"compiledTo"`
}

// TextOp is one step of a delta: it copies Len bytes of the old text from
// offset At, or inserts Text if Len is 0.
type TextOp struct {
	At   int    `cbor:"1,keyasint,omitempty" json:"at,omitempty"`
	Len  int    `cbor:"2,keyasint,omitempty" json:"len,omitempty"`
	Text string `cbor:"3,keyasint,omitempty" json:"text,omitempty"`
}

// ConfigQuery asks an entry daemon for the sequence number of its
// configuration record. Config is the sequence number of the sender's own
// record, and Nonce identifies the query in the reply.
type ConfigQuery struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Config uint64 `cbor:"2,keyasint"`
}

// ConfigQueryReply is the reply to [ConfigQuery]. Config is the sequence number
// of the record in force at the sender of the reply.
type ConfigQueryReply struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Config uint64 `cbor:"2,keyasint"`
}

// ConfigFetch requests the receiver's configuration, which is newer than the
// sender's. The reply is [ConfigTransfer]. Digest is the digest of the
// sender's manifest, so that the reply can be edits of that manifest. An empty
// Digest requests the whole manifest.
type ConfigFetch struct {
	Digest string `cbor:"1,keyasint,omitempty"`
}

// ConfigTransfer is the reply to [ConfigFetch] and carries the sender's
// configuration. If Whole is set, Manifest is the whole manifest. Otherwise
// Edits leads from the receiver's manifest to it, and is empty if the two
// manifests are equal.
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
