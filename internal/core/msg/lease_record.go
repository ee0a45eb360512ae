package msg

// LeaseRecord is the body of a lease object.
type LeaseRecord struct {
	Holder      HostID      `json:"holder"`
	Incarnation Incarnation `json:"incarnation"`
	Epoch       Epoch       `json:"epoch"`
	// DurationMS is the longest time in milliseconds after the last write for
	// which the holder may act under the lease.
	DurationMS int64 `json:"lengthMs"`
	// Released reports whether the holder has released the lease.
	Released bool `json:"released,omitempty"`
}

// LeaseReleased notifies the next candidates that a lease has been released.
type LeaseReleased struct {
	Name  LeaseName `cbor:"1,keyasint"`
	Epoch Epoch     `cbor:"2,keyasint"`
}

// LeaseWritten notifies the candidates that the sender has acquired or renewed a lease,
// after the write took effect. They need not read the object then.
type LeaseWritten struct {
	Name    LeaseName   `cbor:"1,keyasint"`
	Record  LeaseRecord `cbor:"2,keyasint"`
	Version Version     `cbor:"3,keyasint"`
	// Era is the era of the store in which the version was given out.
	Era StoreEra `cbor:"4,keyasint"`
}

func (LeaseReleased) peerMessage() {}
func (LeaseWritten) peerMessage()  {}
