package msg

// LeaseRequested is raised by a component to have a lease acquired and kept
// (Want is true) or released (Want is false).
type LeaseRequested struct {
	Name LeaseName
	Want bool
}

// LeaseChanged is raised at each acquisition, renewal and loss of a lease.
type LeaseChanged struct {
	Name  LeaseName
	Held  bool
	Epoch Epoch
	// Until is the instant at which the lease ends unless it is renewed. Work
	// under the lease must reach its receiver before that instant.
	Until Time
}

// LeaseHolderObserved is raised when this daemon learns of another holder of a
// lease.
type LeaseHolderObserved struct {
	Name   LeaseName
	Holder HostID
	Epoch  Epoch
}

func (LeaseRequested) event()      {}
func (LeaseChanged) event()        {}
func (LeaseHolderObserved) event() {}
