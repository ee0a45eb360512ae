package msg

// ConfigProposed is an operator's new manifest. [AnswerConfigProposal] answers it,
// perhaps more than once: written first, accepted later.
type ConfigProposed struct {
	Call   CallID
	Author string
	// Manifest is the YAML document.
	Manifest []byte
	// Base is the generation that the operator started from.
	Base Generation
}

// ProposalStatus is the result of a proposal.
type ProposalStatus uint8

// Results of proposals.
const (
	// ProposalAccepted means that the configuration is in force.
	ProposalAccepted ProposalStatus = iota
	// ProposalWritten means that it is kept but not yet known to be in force.
	ProposalWritten
	// ProposalConflict means that another change came first; nothing changed.
	ProposalConflict
	// ProposalInvalid means that the manifest is wrong; nothing changed.
	ProposalInvalid
	// ProposalUnavailable means that the platform did not take it; nothing changed.
	ProposalUnavailable
	// ProposalUnknown means that it may have been written.
	ProposalUnknown
)

// String returns the status's name in the operators' interface.
func (s ProposalStatus) String() string {
	return [...]string{"accepted", "written", "conflict", "invalid", "unavailable", "unknown"}[s]
}

// AnswerConfigProposal tells an operator what became of a proposal.
type AnswerConfigProposal struct {
	Call       CallID
	Status     ProposalStatus
	Generation Generation
	Reason     string
}

// DrainRequested is an operator's wish to drain a target or to end its drain.
// [AnswerDrainRequest] answers it.
type DrainRequested struct {
	Call   CallID
	Author string
	Target TargetID
	Undo   bool
}

// AnswerDrainRequest tells an operator whether a wish to drain is kept.
type AnswerDrainRequest struct {
	Call   CallID
	Status CallStatus
}

func (ConfigProposed) event() {}
func (DrainRequested) event() {}

func (AnswerConfigProposal) effect() {}
func (AnswerDrainRequest) effect()   {}
