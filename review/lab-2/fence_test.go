package lab2

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	fenceCutFor = 8 * time.Second
	// fenceSentAgain is when what is held up passes after the link has healed. fenceThaw is thaw_ms.
	fenceSentAgain = time.Second
	fenceThaw      = 300 * time.Millisecond
)

// fenceMain cuts the machine that holds the duty of usage off from the platform
// while its report is on the way.
func fenceMain() {
	l, trouble := New(os.Args[2])
	for i := range 3 {
		l.StartRunner(&Runner{Service: "app", Zone: fmt.Sprintf("z-%d", i+1)}, func(string, string) {})
	}
	routes := []map[string]any{Route("order", "/order/", "unsafe", "app", 1, 2000, false)}
	l.Store.Put("config", "main", Config(11, routes, map[string][]string{"t-a": {"key-a"}}))
	stores, clouds := map[string]*Link{}, map[string]*Link{}
	l.StartFronts(3, 50*time.Millisecond, func(f *Front) {
		stores[f.Name], clouds[f.Name] = NewLink(f.StoreAddr), NewLink(f.CloudAddr)
		f.StoreAddr, f.CloudAddr = stores[f.Name].Addr, clouds[f.Name].Addr
	})
	begin := time.Now()
	go askFence(l, begin)
	holder := ""
	for holder == "" && time.Since(begin) < 40*time.Second {
		if r := l.Store.Reports(); len(r) >= 2 {
			holder = r[len(r)-1].Holder
		}
		time.Sleep(50 * time.Millisecond)
	}
	if holder == "" {
		l.Notef("no usage is reported")
		l.Exit(2)
	}
	l.Notef("%s holds the duty", holder)
	var healed time.Time
	if trouble {
		<-clouds[holder].CutAt("POST /usage")
		stores[holder].Cut()
		l.Notef("%s is cut off from the platform, its report is on the way", holder)
		time.Sleep(fenceCutFor)
		healed = time.Now()
		l.Notef("the link has healed")
		stores[holder].Heal(0)
		clouds[holder].Heal(fenceSentAgain)
	}
	time.Sleep(12 * time.Second)
	broken := 0
	highest := int64(0)
	holders := map[int64]string{}
	for _, r := range l.Store.Reports() {
		text := ""
		excused := !healed.IsZero() && r.Holder == holder && r.At.After(healed) && r.At.Before(healed.Add(fenceThaw))
		switch {
		case excused:
			text = "not counted, within thaw_ms"
		case r.Fence < highest:
			text = "BROKEN: a lower fencing token than one seen before"
			broken++
		case holders[r.Fence] != "" && holders[r.Fence] != r.Holder:
			text = "BROKEN: two holders with one fencing token"
			broken++
		}
		highest = max(highest, r.Fence)
		holders[r.Fence] = r.Holder
		l.Notef("report of window %d by %s with token %d arrived at %.3f s: counts %v %s", r.Window, r.Holder, r.Fence, r.At.Sub(l.Start).Seconds(), r.Counts, text)
	}
	l.Notef("%d reports, %d of them broke the rule", len(l.Store.Reports()), broken)
	fmt.Printf("%d reports, %d of them broke the rule\n", len(l.Store.Reports()), broken)
	if broken > 0 {
		l.Exit(1)
	}
	l.Exit(0)
}

// askFence sends a few requests to each entry daemon.
func askFence(l *Lab, begin time.Time) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; time.Since(begin) < 60*time.Second; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * 50 * time.Millisecond)))
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+l.Fronts[i%3].Addr+"/order/x/", strings.NewReader("an order"))
			req.Host = "h.example"
			req.Header.Set("X-Request-Id", fmt.Sprintf("req-%05d", i))
			req.Header.Set("X-Deadline-Ms", "2000")
			req.Header.Set("X-Api-Key", "key-a")
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
	}
}
