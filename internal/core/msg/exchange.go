package msg

// ExchangePoll is sent by an entry daemon to its parent in the exchange tree, by
// the roots to each other, and by side daemons to an entry daemon. The receiver
// replies with [ExchangeReply].
type ExchangePoll struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Config is the sequence number of the sender's configuration record.
	Config uint64 `cbor:"2,keyasint"`
	// Hosts is the digest of the sender's host list.
	Hosts uint64 `cbor:"3,keyasint"`
	// Aggregates combines the state of the sender and of all daemons below it in
	// the tree. It is set if WithAggregates is set. The reply then has aggregates
	// too, except between roots, which send theirs in their own polls.
	Aggregates     []SectionAggregate `cbor:"4,keyasint,omitempty"`
	WithAggregates bool               `cbor:"5,keyasint,omitempty"`
}

// ExchangeReply is the reply to [ExchangePoll].
type ExchangeReply struct {
	Nonce      uint64     `cbor:"1,keyasint"`
	Config     uint64     `cbor:"2,keyasint"`
	Generation Generation `cbor:"3,keyasint"`
	// Confirmed reports whether the configuration has been confirmed to be the
	// newest. If so, AgeMS is the age of the confirmation in milliseconds when
	// the reply was sent.
	Confirmed bool   `cbor:"4,keyasint,omitempty"`
	AgeMS     uint32 `cbor:"5,keyasint,omitempty"`
	Hosts     uint64 `cbor:"6,keyasint"`
	// Aggregates combines the state of all daemons except the receiver of the
	// reply and those below it in the tree. It is nil if the poll had no
	// aggregates or came from another root.
	Aggregates []SectionAggregate `cbor:"7,keyasint,omitempty"`
}

// SectionAggregate is the value of one section, combined over several daemons.
type SectionAggregate struct {
	Section Section        `cbor:"1,keyasint"`
	Entries []SectionEntry `cbor:"2,keyasint"`
	// Hosts is the number of daemons that contributed, and AgeMS the age of the
	// oldest contribution in milliseconds.
	Hosts int    `cbor:"3,keyasint"`
	AgeMS uint32 `cbor:"4,keyasint"`
}

// ConfigRecordChanged is raised by the configuration component when its record
// or the time at which the record was confirmed changes. Config is the
// sequence number of the record.
type ConfigRecordChanged struct {
	Config     uint64
	Generation Generation
	// ConfirmedAt is an instant at which no newer record had been accepted. It is
	// valid if Confirmed is set.
	Confirmed   bool
	ConfirmedAt Time
}

// PeerConfigReported is raised when another daemon reports which configuration
// it has. Config is the sequence number of its record.
type PeerConfigReported struct {
	From       HostID
	Config     uint64
	Generation Generation
	// ConfirmedAt is the time of the confirmation on this daemon's clock. It is
	// valid if Confirmed is set.
	Confirmed   bool
	ConfirmedAt Time
}

// PeerHostsReported is raised when another daemon reports the digest of its host
// list.
type PeerHostsReported struct{ Digest uint64 }

func (ExchangePoll) peerMessage()  {}
func (ExchangeReply) peerMessage() {}

func (ConfigRecordChanged) event() {}
func (PeerConfigReported) event()  {}
func (PeerHostsReported) event()   {}
