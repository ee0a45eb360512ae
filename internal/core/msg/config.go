package msg

import "time"

// ConfigRecord is one configuration as it is kept and handed on.
type ConfigRecord struct {
	Generation Generation `cbor:"1,keyasint" json:"generation"`
	Author     string     `cbor:"2,keyasint" json:"author"`
	At         time.Time  `cbor:"3,keyasint" json:"at"`
	// Manifest is the YAML document.
	Manifest string `cbor:"4,keyasint" json:"manifest"`
	// Digest is the lower-case hex SHA-256 of the manifest.
	Digest string `cbor:"5,keyasint" json:"digest"`
	// Previous describes the change before this one, so that its audit object
	// can be made up for where its author's daemon was lost.
	Previous *ConfigChange `cbor:"6,keyasint,omitempty" json:"previous,omitempty"`
}

// ConfigChange describes an accepted change; it is kept as an audit object.
type ConfigChange struct {
	Generation Generation `cbor:"1,keyasint" json:"generation"`
	Author     string     `cbor:"2,keyasint" json:"author"`
	At         time.Time  `cbor:"3,keyasint" json:"at"`
	Digest     string     `cbor:"4,keyasint" json:"digest"`
}

// Change describes how the record came about.
func (r *ConfigRecord) Change() ConfigChange {
	return ConfigChange{Generation: r.Generation, Author: r.Author, At: r.At, Digest: r.Digest}
}

// ConfigQuery asks another entry daemon for the generation that it holds. The
// sender's own is Generation.
type ConfigQuery struct {
	Nonce      uint64     `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}

// ConfigHeld answers [ConfigQuery]: the generation that was in force at the
// sender when the query arrived.
type ConfigHeld struct {
	Nonce      uint64     `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}

// ConfigFetch asks for the receiver's configuration because it is newer than
// the sender's, which is Generation.
type ConfigFetch struct {
	Generation Generation `cbor:"1,keyasint"`
}

// ConfigBody hands on a whole configuration.
type ConfigBody struct {
	Record ConfigRecord `cbor:"1,keyasint"`
}

func (ConfigQuery) peerMessage() {}
func (ConfigHeld) peerMessage()  {}
func (ConfigFetch) peerMessage() {}
func (ConfigBody) peerMessage()  {}
