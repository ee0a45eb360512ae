package msg

// ConfigProposed is an operator's proposal of a new manifest. The reducer
// answers it with one or more effects [AnswerConfigProposal]: for example,
// first that the manifest was written, and later that it was accepted.
type ConfigProposed struct {
	Call   CallID
	Author string
	// Manifest is the YAML document.
	Manifest []byte
	// Base is the generation on which the operator based the proposal.
	Base Generation
}

// ProposalStatus is the result of a proposal.
type ProposalStatus uint8

// Results of proposals.
const (
	// ProposalAccepted means that the proposed configuration is in force.
	ProposalAccepted ProposalStatus = iota
	// ProposalWritten means that it is stored but not yet known to be in force.
	ProposalWritten
	// ProposalConflict means that another change was made first. Nothing was
	// changed.
	ProposalConflict
	// ProposalInvalid means that the manifest is invalid. Nothing was changed.
	ProposalInvalid
	// ProposalUnavailable means that the platform did not accept the write.
	// Nothing was changed.
	ProposalUnavailable
	// ProposalUnknown means that it may have been written.
	ProposalUnknown
)

// String returns the status's name in the operator interface.
func (s ProposalStatus) String() string {
	return [...]string{"accepted", "written", "conflict", "invalid", "unavailable", "unknown"}[s]
}

// AnswerConfigProposal sends an operator the result of a proposal.
type AnswerConfigProposal struct {
	Call       CallID
	Status     ProposalStatus
	Generation Generation
	Reason     string
}

// DrainRequested is an operator's request to drain a target or, with Undo set, to
// end its drain. The response is [AnswerDrainRequest].
type DrainRequested struct {
	Call   CallID
	Author string
	Target TargetID
	Undo   bool
}

// AnswerDrainRequest reports to an operator whether a request to drain was
// stored.
type AnswerDrainRequest struct {
	Call   CallID
	Status CallStatus
}

func (ConfigProposed) event() {}
func (DrainRequested) event() {}

func (AnswerConfigProposal) effect() {}
func (AnswerDrainRequest) effect()   {}
