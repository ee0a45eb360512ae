package msg

// LeaseRecord is the body of a lease object.
type LeaseRecord struct {
	Holder      HostID      `json:"holder"`
	Incarnation Incarnation `json:"incarnation"`
	Epoch       Epoch       `json:"epoch"`
	// DurationMS is the time in milliseconds after the last write for which the
	// holder may act at the longest.
	DurationMS int64 `json:"lengthMs"`
	// Released says that the holder has given the lease up.
	Released bool `json:"released,omitempty"`
}

// LeaseReleased tells the next candidates that a lease was given up.
type LeaseReleased struct {
	Name  LeaseName `cbor:"1,keyasint"`
	Epoch Epoch     `cbor:"2,keyasint"`
}

func (LeaseReleased) peerMessage() {}
