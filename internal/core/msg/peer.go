package msg

// PeerMessage is a message between two daemons. The implementations are in
// this package; each has a number in the codec.
type PeerMessage interface{ peerMessage() }

// SendPeer sends a message to another daemon. Delivery is not guaranteed.
type SendPeer struct {
	To      HostID
	Message PeerMessage
}

// PeerReceived is a message from another daemon, whose identity the transport
// has checked.
type PeerReceived struct {
	From    HostID
	Message PeerMessage
}

// Section names a part of the state that daemons exchange.
type Section uint8

// Sections of the exchange.
const (
	// SectionDemand carries per-pool demand; sums over entries.
	SectionDemand Section = iota + 1
	// SectionServedTokens carries tokens of service per client account; sums over entries.
	SectionServedTokens
	// SectionLoad carries load per target.
	SectionLoad
	// SectionCrashes carries crash strikes per request fingerprint.
	SectionCrashes
)

// PublishState is raised by a part to have the value spread to the other entry
// daemons. A later value of the same section replaces an earlier one.
type PublishState struct {
	Section Section
	Value   SectionValue
}

// AggregateReceived is raised when the exchange brings news of a section: the
// combined value over the other entry daemons. Age is how old the oldest
// contribution is.
type AggregateReceived struct {
	Section Section
	Value   SectionValue
	Age     Time
	// Hosts is the number of daemons that contributed.
	Hosts int
}

// SectionValue is a value that the exchange can combine: keyed numbers, which
// are summed or of which the maximum is taken, as the section says.
type SectionValue struct {
	Entries []SectionEntry
}

// SectionEntry is one keyed vector of a shared value.
type SectionEntry struct {
	Key    string    `cbor:"1,keyasint"`
	Values []float32 `cbor:"2,keyasint"`
}

// MembersChanged is raised when the set of daemons known to be reachable
// changes.
type MembersChanged struct {
	// Entries are the live entry daemons, self included, in order of host id.
	Entries []Host
	// Leaving are the hosts that take no new work.
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
// [PeerUp] and [PeerDown] tell its state. Messages and attempts to a host
// that is not connected open a connection on demand.
type Connect struct {
	Host HostID
	Addr string
	Kind HostKind
}

// SetHostAddr tells where a host is that messages or attempts may be sent to, so
// that a connection can be opened on demand.
type SetHostAddr struct {
	Host HostID
	Addr string
	Kind HostKind
}

// Disconnect gives up a connection that Connect asked for.
type Disconnect struct{ Host HostID }

// PeerUp tells that a host's control stream is open.
type PeerUp struct{ Host HostID }

// PeerDown tells that a host's control stream broke or went silent.
type PeerDown struct{ Host HostID }

func (Connect) effect()     {}
func (SetHostAddr) effect() {}
func (Disconnect) effect()  {}

func (PeerUp) event()   {}
func (PeerDown) event() {}
