package msg

// PeerMessage is a message between two daemons. The implementations are in
// this package. Each has a fixed number on the wire, see [PeerTypes].
type PeerMessage interface{ peerMessage() }

// SendPeer sends a message to another daemon. Delivery is not guaranteed.
type SendPeer struct {
	To      HostID
	Message PeerMessage
}

// PeerReceived is a message from another daemon. The transport has verified the
// sender's identity.
type PeerReceived struct {
	From    HostID
	Message PeerMessage
}

// Section identifies one kind of state that daemons exchange, and thereby how
// the daemons' values are combined.
type Section uint8

// Sections of the exchange.
const (
	// SectionDemand is the demand per pool, summed over the entry daemons.
	SectionDemand Section = iota + 1
	// SectionServedTokens is the number of tokens served per client account,
	// summed over the entry daemons.
	SectionServedTokens
	// SectionLoad is the load per target.
	SectionLoad
	// SectionCrashes is the number of crash records per request fingerprint,
	// the maximum over the entry daemons.
	SectionCrashes
)

// PublishState is raised by a component to publish this daemon's value of a
// section to the other entry daemons. A later value of the same section replaces
// an earlier one.
type PublishState struct {
	Section Section
	Value   SectionValue
}

// AggregateReceived is raised when the exchange delivers a new value of a section,
// combined over the other entry daemons. Age is that of the oldest contribution.
type AggregateReceived struct {
	Section Section
	Value   SectionValue
	Age     Time
	// Hosts is the number of daemons that contributed.
	Hosts int
}

// SectionValue is a value that the exchange can combine: numbers under keys. The
// section determines whether numbers of the same key are summed or their maximum
// is taken.
type SectionValue struct {
	Entries []SectionEntry
}

// SectionEntry is one key of a section's value with its numbers.
type SectionEntry struct {
	Key    string    `cbor:"1,keyasint"`
	Values []float32 `cbor:"2,keyasint"`
}

// MembersChanged is raised when the set of the deployment's known hosts, or
// the state of one of them, changes.
type MembersChanged struct {
	// Entries are the live entry daemons, this one included, in order of host
	// ID.
	Entries []Host
	// Complete reports that Entries names all live entry daemons, as far as the platform's
	// list shows them. A daemon that is new to a fleet does not know that.
	Complete bool
	// Leaving are the hosts that accept no new work.
	Leaving []HostID
	// Targets are the hosts of targets, live or leaving.
	Targets []Host
	// Digest identifies the host list.
	Digest uint64
}

func (SendPeer) effect() {}

func (PeerReceived) event()      {}
func (PublishState) event()      {}
func (AggregateReceived) event() {}
func (MembersChanged) event()    {}

// Connect keeps a connection to another daemon open, with its control stream.
// [PeerUp] and [PeerDown] report its state. Messages and attempts to a host that
// is not connected open a connection on demand.
type Connect struct {
	Host HostID
	Addr string
	Kind HostKind
}

// SetHostAddr sets the address of a host to which messages or attempts may be
// sent, so that a connection can be opened on demand.
type SetHostAddr struct {
	Host HostID
	Addr string
	Kind HostKind
}

// Disconnect closes a connection that was requested with [Connect].
type Disconnect struct{ Host HostID }

// PeerUp reports that a host's control stream is open.
type PeerUp struct{ Host HostID }

// PeerDown reports that a host's control stream failed or timed out.
type PeerDown struct{ Host HostID }

func (Connect) effect()     {}
func (SetHostAddr) effect() {}
func (Disconnect) effect()  {}

func (PeerUp) event()   {}
func (PeerDown) event() {}
