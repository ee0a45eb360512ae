package retry

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudgetRunsOutAndIsEarnedBack(t *testing.T) {
	is := is.New(t)
	b := New()
	for range capacity {
		is.True(b.Spend("r", "a"))
	}
	is.True(!b.Spend("r", "a"))
	is.True(!b.Spend("r", "b")) // the route's budget is used up
	is.True(b.Spend("s", "b"))
	for range 11 {
		b.Earn("r", "a")
	}
	is.True(b.Spend("r", "a"))
	is.True(!b.Spend("r", "a"))
}

func TestRefusedRetryTakesNothing(t *testing.T) {
	is := is.New(t)
	b := New()
	for i := range capacity {
		is.True(b.Spend("r", "a"))
		_ = i
	}
	for range 100 {
		b.Spend("r", "c") // route is empty: must not drain account c
	}
	for range capacity {
		is.True(b.Spend("s", "c"))
	}
}
