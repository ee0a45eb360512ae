package standin

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// lostBoard: all daemons are killed, as a final fault, and start again. While they recover,
// all runners of a plain service crash and are back after some seconds. The clients are
// screens that read one of a few boards again and again.
func lostBoard(w *World) []string {
	const (
		work     = 150 * time.Millisecond
		killAt   = 12 * time.Second
		crashAt  = 16 * time.Second
		crashFor = 4 * time.Second
		recoverS = 12 * time.Second
		end      = 44 * time.Second
		boards   = 4
	)
	w.store.Put("config", "main", config(7))
	var runners []*Runner
	for i, zone := range []string{"tc-north", "tc-east", "tc-south"} {
		r := newRunner(w.rec, w.store, fmt.Sprintf("i-%07x", 0x7f3a91c+i), "yard-app", zone, 12, nil)
		r.serve = func(r *Runner, rw http.ResponseWriter, req *http.Request) {
			time.Sleep(work)
			_, _ = io.WriteString(rw, wholeBody(r.ID, req.Header.Get("X-Request-Id"), 800))
		}
		r.Start()
		runners = append(runners, r)
	}
	w.startDaemons(2)
	start := time.Now()
	var mu sync.Mutex
	var killedAt, backAt time.Time
	if w.trouble {
		time.AfterFunc(crashAt, func() {
			w.rec.Logf("all runners of yard-app crash")
			for _, r := range runners {
				r.Crash()
			}
			time.Sleep(crashFor)
			for _, r := range runners {
				r.Start()
			}
			w.rec.Logf("the runners are back")
		})
	}
	time.AfterFunc(killAt, func() {
		mu.Lock()
		killedAt = time.Now()
		mu.Unlock()
		if w.trouble {
			w.rec.Logf("all daemons are killed")
			for _, d := range w.daemons {
				d.Kill()
			}
			for _, d := range w.daemons {
				d.Start()
			}
		}
		mu.Lock()
		backAt = time.Now()
		mu.Unlock()
		w.rec.Logf("the daemons run again")
	})
	type tally struct{ sent, served int }
	var before, between, after tally
	var wg sync.WaitGroup
	for c := range 4 * boards {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(start) < end; n++ {
				time.Sleep(time.Duration(50+rand.Intn(50)) * time.Millisecond)
				d := w.daemons[(c+n)%len(w.daemons)]
				sent := time.Now()
				r := &Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: "GET", Host: host, Path: fmt.Sprintf("/stock/board-%d", c%boards), Header: []string{"X-Api-Key: " + key}, Deadline: 4 * time.Second}
				a := do(d.Front, r)
				ok := a.Status == http.StatusOK && a.Complete
				w.rec.Logf("client id=%s daemon=%s path=%s status=%d complete=%v body=%.40q err=%v", r.ID, d.Name, r.Path, a.Status, a.Complete, a.Body, a.Err)
				mu.Lock()
				t := &between
				switch {
				case killedAt.IsZero():
					t = &before
				case !backAt.IsZero() && sent.After(backAt.Add(recoverS)):
					t = &after
				}
				t.sent++
				if ok {
					t.served++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	line := fmt.Sprintf("before the final fault %d of %d served, until %v after it %d of %d, later %d of %d",
		before.served, before.sent, recoverS, between.served, between.sent, after.served, after.sent)
	fmt.Println(line)
	w.rec.Logf("%s", line)
	if before.served == 0 || after.sent == 0 {
		cannotRun("no request was served")
	}
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		return []string{"RECOVER " + line}
	}
	return nil
}
