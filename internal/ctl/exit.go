package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/operator"
	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// Exit codes. Scripts depend on their values.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitWritten     = 3
	exitConflict    = 4
	exitInvalid     = 5
	exitUnavailable = 6
	exitUnknown     = 7
	exitDenied      = 8
	exitNotFound    = 9
	exitDiffers     = 10
)

// exitError is an error that has its own exit code.
type exitError struct {
	code int
	text string
}

// Error returns the message for the operator.
func (e *exitError) Error() string { return e.text }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

func usageErrorf(format string, args ...any) error { return exitErrorf(exitUsage, format, args...) }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var e *exitError
	var invalid *strictyaml.Error
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &invalid), errors.Is(err, manifest.ErrTooLarge):
		return exitInvalid
	case errors.Is(err, operator.ErrDenied):
		return exitDenied
	case errors.Is(err, operator.ErrNotFound):
		return exitNotFound
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnavailable
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return exitUnknown
	}
	return exitFailed
}

// statusExitCode returns the exit code for the result of a proposal.
func statusExitCode(s operator.Status) int {
	switch s {
	case operator.StatusAccepted:
		return exitOK
	case operator.StatusWritten:
		return exitWritten
	case operator.StatusConflict:
		return exitConflict
	case operator.StatusInvalid:
		return exitInvalid
	case operator.StatusUnavailable:
		return exitUnavailable
	default:
		return exitUnknown
	}
}
