package relay

import (
	"sync"
	"time"
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// readDeadlines is the earlier one of two read deadlines of a connection: that of its
// server, and one of its own.
type readDeadlines struct {
	set func(time.Time) error

	mu          sync.Mutex
	server, own time.Time
}

func (d *readDeadlines) setServer(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server = t
	return d.apply()
}

// setOwn sets the connection's own deadline, unless that has been made to expire.
func (d *readDeadlines) setOwn(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own != expired && d.own != t {
		d.own = t
		_ = d.apply()
	}
}

// expire makes reads fail from now on.
func (d *readDeadlines) expire() { d.setOwn(expired) }

func (d *readDeadlines) apply() error {
	t := d.server
	if t.IsZero() || !d.own.IsZero() && d.own.Before(t) {
		t = d.own
	}
	return d.set(t)
}
