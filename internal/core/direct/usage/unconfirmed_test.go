package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// TestReportsWaitForUnconfirmedOne guards against the report of a former holder that something
// between has taken over from it, and that arrives after a report with the next fencing token.
func TestReportsWaitForUnconfirmedOne(t *testing.T) {
	const (
		silentFrom = testWindow + time.Second
		lostAt     = silentFrom + testWindow
		end        = lostAt + 6*testWindow
	)
	tests := []struct {
		name string
		// takeOver makes another daemon the holder, and runs it for some time.
		takeOver func(c *cluster)
		waits    bool
	}{
		{"the holder is lost", func(c *cluster) { c.grantLease("b", 2) }, true},
		{"no daemon hears of the report", func(c *cluster) {
			c.start("b")
			c.grantLease("b", 2)
		}, true},
		{"the successor is lost while it waits", func(c *cluster) {
			c.grantLease("b", 2)
			c.advance(testWindow)
			c.step("b", msg.LeaseChanged{Name: LeaseName, Epoch: 2})
			c.grantLease("d", 3)
		}, true},
		{"the holder comes back", func(c *cluster) { c.grantLease("a", 3) }, true},
		{"the store has lost its writes", func(c *cluster) {
			c.objects = coretest.NewObjects()
			for _, h := range c.hosts {
				c.step(h, msg.StoreEraChanged{Era: msg.FirstStoreEra + 1, Previous: msg.FirstStoreEra})
			}
			c.grantLease("b", 2)
		}, true},
		{"the report was answered", func(c *cluster) { c.grantLease("b", 2) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, "a", "b", "d")
			c.messagesLost = tt.name == "no daemon hears of the report"
			c.grantLease("a", 1)
			c.advance(silentFrom)
			c.silent["a"] = tt.waits
			c.advance(lostAt - silentFrom)
			held := c.reports[len(c.reports)-1]
			c.step("a", msg.LeaseChanged{Name: LeaseName, Epoch: 1})
			c.silent["a"] = false
			tt.takeOver(c)
			c.advance(end - c.now)
			checkAfter(c, held, tt.waits)
		})
	}
}

// checkAfter checks the reports after one that may arrive late: the next comes after a
// partition of the longest kind, or at once if none has to be waited for. Every window is
// reported with one set of counts, and only the one of the late report after it was due.
func checkAfter(c *cluster, held sentReport, waits bool) {
	const longestPartition = 13 * time.Second
	first := true
	reported := make(map[int64]time.Duration)
	for _, r := range c.reports {
		if r.Epoch > held.Epoch && first {
			first = false
			c.is.Equal(r.at-held.at > longestPartition, waits)
		}
		if _, ok := reported[r.Window]; !ok || r.Window == held.Window {
			reported[r.Window] = r.at
		}
	}
	c.is.True(!first)
	for w := held.Window; w <= held.Window+4; w++ {
		due := time.Unix(0, (w+1)*int64(testWindow)).Add(testReportDeadline).Sub(time.Unix(1_000_000, 0))
		at, ok := reported[w]
		c.is.True(ok)
		c.is.True(at < due || w == held.Window)
	}
}

// A notice that tells only that a report was answered is smaller than one with counts, and must not
// replace them.
func TestNoticeWithoutCountsKeepsThem(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: "a", Window: testWindow})
	m.remember(msg.WindowsFrozen{Last: 7, Windows: map[int64]map[msg.AccountID]int64{7: {"acme": 3}}, UnconfirmedMS: 7})
	m.remember(msg.WindowsFrozen{Last: 7})
	is.Equal(m.remembered.UnconfirmedMS, int64(0))
	m.remember(msg.WindowsFrozen{Last: 8, UnconfirmedMS: 8}) // the notice with the counts was lost
	is.Equal(m.remembered.Last, int64(7))
	is.Equal(m.remembered.Windows[7]["acme"], int64(3))
}
