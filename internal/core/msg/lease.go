package msg

// LeaseRequested is raised by a part that needs a lease to be sought (Want) or
// given up (not Want).
type LeaseRequested struct {
	Name LeaseName
	Want bool
}

// LeaseChanged is raised on each acquisition, renewal and loss of a lease.
type LeaseChanged struct {
	Name  LeaseName
	Held  bool
	Epoch Epoch
	// Until is the instant at which the authority ends unless it is renewed.
	// Work under the lease must reach its receiver before it.
	Until Time
}

// LeaseHolderObserved is raised when another holder of a lease is learned.
type LeaseHolderObserved struct {
	Name   LeaseName
	Holder HostID
	Epoch  Epoch
}

func (LeaseRequested) event()      {}
func (LeaseChanged) event()        {}
func (LeaseHolderObserved) event() {}
