package poison

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// writeInterval is the minimum time between two writes.
	writeInterval = time.Second
	// maxRecordsPerWrite limits the records of one write, whose value must stay below
	// a megabyte.
	maxRecordsPerWrite = 2000
)

// storedBatch is the value of one object at the platform: a notice and the time
// of its write.
type storedBatch struct {
	At time.Time `json:"at"`
	msg.CrashNotice
}

// crashWriter stores notices at the platform, one object for each write.
type crashWriter struct {
	client *store.Client
	prefix string
	wall   time.Time
	seq    int
	// pending holds the notices that the next write stores, and writing those of
	// the write in flight.
	pending       msg.CrashNotice
	writing       msg.CrashNotice
	writeInFlight bool
	nextWriteAt   msg.Time
}

func (w *crashWriter) start(ev msg.Started) {
	w.prefix = string(ev.Self.Host) + "/" + string(ev.Incarnation)
	w.client = store.New(store.ComponentPoison, w.prefix)
	w.wall = ev.Wall
}

// enqueue adds a notice to those that the next write stores.
func (w *crashWriter) enqueue(n msg.CrashNotice) {
	w.pending.Crashes = append(w.pending.Crashes, n.Crashes...)
	w.pending.Cleared = append(w.pending.Cleared, n.Cleared...)
}

// flushed reports whether all notices are stored at the platform.
func (w *crashWriter) flushed() bool {
	return !w.writeInFlight && len(w.pending.Crashes)+len(w.pending.Cleared) == 0
}

// flush writes the pending notices, unless a write is in flight or the last one
// is too recent.
func (w *crashWriter) flush(now msg.Time) []msg.Effect {
	if w.writeInFlight || w.flushed() || now < w.nextWriteAt {
		return nil
	}
	w.writeInFlight = true
	w.nextWriteAt = now + writeInterval
	w.writing = msg.CrashNotice{
		Crashes: takeRecords(&w.pending.Crashes), Cleared: takeRecords(&w.pending.Cleared),
	}
	w.seq++
	name := fmt.Sprintf("%s/%d", w.prefix, w.seq)
	return []msg.Effect{w.client.Put(now, tagWrite, msg.KindPoison, name, storedBatch{At: w.wall, CrashNotice: w.writing}, 0, 0)}
}

// takeRecords removes and returns the first records of a list, as many as one write may
// hold.
func takeRecords(list *[]msg.CrashRecord) []msg.CrashRecord {
	n := min(len(*list), maxRecordsPerWrite)
	taken := (*list)[:n:n]
	*list = slices.Clone((*list)[n:])
	return taken
}

// onWritten handles the result of a write. The notices of a failed write become
// pending again.
func (w *crashWriter) onWritten(r store.Result) {
	if r.Tag != tagWrite {
		return
	}
	w.writeInFlight = false
	if r.Status != msg.CallOK {
		w.enqueue(w.writing)
	}
	w.writing = msg.CrashNotice{}
}
