package msg

// EntryRecord is the body of an entry daemon's own object, by which the others
// find it.
type EntryRecord struct {
	Addr        string        `json:"addr"`
	Domain      FailureDomain `json:"domain"`
	Region      Region        `json:"region"`
	Incarnation Incarnation   `json:"incarnation"`
	// Heartbeat grows with each write.
	Heartbeat uint64 `json:"beat"`
	Leaving   bool   `json:"leaving,omitempty"`
}
