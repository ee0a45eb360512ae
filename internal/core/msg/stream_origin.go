package msg

// StreamOrigin states which software version of its targets began a stream. What two
// versions write does not fit together, so that the stream may go on at this one only.
type StreamOrigin struct {
	// Stream is a hash of the caller's ID of the request that brought the first event.
	Stream  uint64 `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// StreamOrigins tells the origins of streams to an entry daemon that keeps them, or
// answers a [StreamOriginQuery].
type StreamOrigins struct {
	Known []StreamOrigin `cbor:"1,keyasint,omitempty"`
	// Unknown lists the streams of the query that the sender does not know.
	Unknown []uint64 `cbor:"2,keyasint,omitempty"`
}

// StreamOriginQuery asks an entry daemon for the origins of streams.
type StreamOriginQuery struct {
	Streams []uint64 `cbor:"1,keyasint"`
}

func (StreamOrigins) peerMessage()     {}
func (StreamOriginQuery) peerMessage() {}

// StreamVersionsRecorded states the record of the versions at which streams of each service
// may have begun, as the sender has written it to the platform in an era. Version is that
// of its object.
type StreamVersionsRecorded struct {
	Era      StoreEra          `cbor:"1,keyasint"`
	Version  Version           `cbor:"2,keyasint"`
	Services []ServiceVersions `cbor:"3,keyasint,omitempty"`
}

// ServiceVersions is the part of a service of [StreamVersionsRecorded]. Complete reports
// whether streams that can still be resumed may have begun at no other version.
type ServiceVersions struct {
	Service  ServiceID `cbor:"1,keyasint"`
	Versions []string  `cbor:"2,keyasint"`
	Complete bool      `cbor:"3,keyasint,omitempty"`
}

func (StreamVersionsRecorded) peerMessage() {}
