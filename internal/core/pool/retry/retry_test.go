package retry

import (
	"testing"

	"github.com/matryer/is"
)

// A budget allows its capacity of retries, and one more for about every ten new
// requests.
func TestBudgetIsUsedUpAndRefilled(t *testing.T) {
	is := is.New(t)
	b := New()
	for range capacity {
		is.True(b.TryWithdraw("r", "a"))
	}
	is.True(!b.TryWithdraw("r", "a"))
	is.True(!b.TryWithdraw("r", "b")) // the route's budget is used up
	is.True(b.TryWithdraw("s", "b"))
	for range 11 {
		b.Deposit("r", "a")
	}
	is.True(b.TryWithdraw("r", "a"))
	is.True(!b.TryWithdraw("r", "a"))
}

// A retry that one budget refuses must not be taken from the other.
func TestRefusedRetryWithdrawsNothing(t *testing.T) {
	is := is.New(t)
	b := New()
	for i := range capacity {
		is.True(b.TryWithdraw("r", "a"))
		_ = i
	}
	for range 100 {
		b.TryWithdraw("r", "c") // the route's budget is used up, and that of account c must stay full
	}
	for range capacity {
		is.True(b.TryWithdraw("s", "c"))
	}
}
