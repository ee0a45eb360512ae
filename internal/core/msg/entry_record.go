package msg

// EntryRecord is the body of an entry daemon's own object, by which the others
// find it.
type EntryRecord struct {
	Addr        string        `json:"addr"`
	Domain      FailureDomain `json:"domain"`
	Region      Region        `json:"region"`
	Incarnation Incarnation   `json:"incarnation"`
	// Beat grows with each write.
	Beat    uint64 `json:"beat"`
	Leaving bool   `json:"leaving,omitempty"`
}
