package msg

// ExchangePoll goes from an entry daemon to its parent in the exchange, and
// between the roots. [ExchangeReply] answers it. Side daemons poll an entry.
type ExchangePoll struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Config is the sequence number of the sender's configuration record.
	Config uint64 `cbor:"2,keyasint"`
	// Hosts is the digest of the sender's host list.
	Hosts uint64 `cbor:"3,keyasint"`
	// Sums combines the state below the sender, itself included, where
	// WithSums is set. The reply then carries sums too.
	Sums     []SectionSum `cbor:"4,keyasint,omitempty"`
	WithSums bool         `cbor:"5,keyasint,omitempty"`
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
	// Sums combines the state of all daemons that are not below the receiver;
	// nil where the poll carried none.
	Sums []SectionSum `cbor:"7,keyasint,omitempty"`
}

// SectionSum is the combined value of one section over some daemons.
type SectionSum struct {
	Section Section       `cbor:"1,keyasint"`
	Entries []SharedEntry `cbor:"2,keyasint"`
	// Hosts is the number of daemons that contributed and AgeMS the age of
	// the oldest contribution in milliseconds.
	Hosts int    `cbor:"3,keyasint"`
	AgeMS uint32 `cbor:"4,keyasint"`
}

// ConfigKnown is raised by the configuration part when its record or the time
// of its confirmation changes.
type ConfigKnown struct {
	Config     uint64
	Generation Generation
	// ConfirmedAt is the instant at which no newer record had been accepted,
	// where Confirmed is set.
	Confirmed   bool
	ConfirmedAt Time
}

// ConfigHeard is raised when another daemon tells of its configuration.
type ConfigHeard struct {
	From       HostID
	Config     uint64
	Generation Generation
	// ConfirmedAt is an instant on this daemon's clock, where Confirmed is set.
	Confirmed   bool
	ConfirmedAt Time
}

// HostsHeard is raised when another daemon tells the digest of its host list.
type HostsHeard struct{ Digest uint64 }

func (ExchangePoll) peerMessage()  {}
func (ExchangeReply) peerMessage() {}

func (ConfigKnown) event() {}
func (ConfigHeard) event() {}
func (HostsHeard) event()  {}
