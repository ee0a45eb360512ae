package msg

import "time"

// UsageReport is the final figure of one client account and time window.
type UsageReport struct {
	Account AccountID
	// Window is the start of the window on the wall clock, in UTC.
	Window   time.Time
	Length   time.Duration
	Requests int64
	Usage    TokenUsage
	// Late counts the tokens that belong to earlier, already reported windows.
	Late TokenUsage
}

// ReportUsage reports a frozen window to the usage interface. [UsageReported]
// answers it.
type ReportUsage struct {
	Call     CallID
	Report   UsageReport
	Epoch    Epoch
	NotAfter Time
}

// UsageReported is the result of ReportUsage.
type UsageReported struct {
	Call   CallID
	Status CallStatus
}

func (ReportUsage) effect()  {}
func (UsageReported) event() {}
