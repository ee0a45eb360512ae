package msg

import "time"

// UsageReport is the final usage of one client account in one time window.
type UsageReport struct {
	Account AccountID
	// Window is the start of the window on the wall clock, in UTC.
	Window   time.Time
	Length   time.Duration
	Requests int64
	Usage    TokenUsage
	// Late counts the tokens that belong to earlier windows which have already
	// been reported.
	Late TokenUsage
}

// ReportUsage reports a frozen window, whose counts no longer change, to the
// platform's usage interface. The result is [UsageReported].
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
