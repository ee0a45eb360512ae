package msg

// ExchangePoll goes from an entry daemon to its parent in the exchange, and
// between the roots. [ExchangeReply] answers it. Side daemons poll an entry.
type ExchangePoll struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Config is the sequence number of the sender's configuration record.
	Config uint64 `cbor:"2,keyasint"`
	// Hosts is the digest of the sender's host list.
	Hosts uint64 `cbor:"3,keyasint"`
	// Aggregates combines the state below the sender, itself included, where
	// WithSums is set. The reply then carries sums too.
	Aggregates     []SectionAggregate `cbor:"4,keyasint,omitempty"`
	WithAggregates bool               `cbor:"5,keyasint,omitempty"`
}

// ExchangeReply answers [ExchangePoll].
type ExchangeReply struct {
	Nonce      uint64     `cbor:"1,keyasint"`
	Config     uint64     `cbor:"2,keyasint"`
	Generation Generation `cbor:"3,keyasint"`
	// Confirmed says that the configuration was confirmed AgeMS milliseconds
	// before the reply.
	Confirmed bool   `cbor:"4,keyasint,omitempty"`
	AgeMS     uint32 `cbor:"5,keyasint,omitempty"`
	Hosts     uint64 `cbor:"6,keyasint"`
	// Aggregates combines the state of all daemons that are not below the receiver;
	// nil where the poll carried none.
	Aggregates []SectionAggregate `cbor:"7,keyasint,omitempty"`
}

// SectionAggregate is the combined value of one section over some daemons.
type SectionAggregate struct {
	Section Section        `cbor:"1,keyasint"`
	Entries []SectionEntry `cbor:"2,keyasint"`
	// Hosts is the number of daemons that contributed and AgeMS the age of
	// the oldest contribution in milliseconds.
	Hosts int    `cbor:"3,keyasint"`
	AgeMS uint32 `cbor:"4,keyasint"`
}

// ConfigRecordChanged is raised by the configuration part when its record or the time
// of its confirmation changes.
type ConfigRecordChanged struct {
	Config     uint64
	Generation Generation
	// ConfirmedAt is the instant at which no newer record had been accepted,
	// where Confirmed is set.
	Confirmed   bool
	ConfirmedAt Time
}

// PeerConfigReported is raised when another daemon tells of its configuration.
type PeerConfigReported struct {
	From       HostID
	Config     uint64
	Generation Generation
	// ConfirmedAt is an instant on this daemon's clock, where Confirmed is set.
	Confirmed   bool
	ConfirmedAt Time
}

// PeerHostsReported is raised when another daemon tells the digest of its host list.
type PeerHostsReported struct{ Digest uint64 }

func (ExchangePoll) peerMessage()  {}
func (ExchangeReply) peerMessage() {}

func (ConfigRecordChanged) event() {}
func (PeerConfigReported) event()  {}
func (PeerHostsReported) event()   {}
