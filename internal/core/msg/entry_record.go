package msg

// EntryRecord is the body of the object that an entry daemon stores for itself,
// through which the other entry daemons discover it.
type EntryRecord struct {
	Addr        string        `json:"addr"`
	Domain      FailureDomain `json:"domain"`
	Region      Region        `json:"region"`
	Incarnation Incarnation   `json:"incarnation"`
	// Heartbeat increases with each write.
	Heartbeat uint64 `json:"beat"`
	Leaving   bool   `json:"leaving,omitempty"`
}
