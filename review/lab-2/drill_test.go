package lab2

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	drillRevoke = 5 * time.Second // revoke_ms
	// drillAway is how long the store is away, and drillAgain how long after its return the operator
	// has written the configuration again.
	drillAway  = 4500 * time.Millisecond
	drillAgain = time.Second
)

type drillSent struct {
	id, front, key string
	at             time.Time
	status         int
}

// drillMain lets the store come back from a copy that lacks a withdrawal of a key.
//
// The withdrawal is acknowledged just before the store goes away or, as the variant restart,
// seconds before. All daemons know it then, and one of them is killed and started again.
func drillMain() {
	l, trouble := New(os.Args[2])
	var mu sync.Mutex
	ran := map[string]string{}
	for i := range 3 {
		l.StartRunner(&Runner{Service: "app", Zone: fmt.Sprintf("z-%d", i+1)}, func(runner, line string) {
			mu.Lock()
			defer mu.Unlock()
			if f := strings.Fields(line); f[0] == "run" {
				ran[f[1]] = runner + " " + f[2]
			}
		})
	}
	routes := []map[string]any{Route("order", "/order/", "unsafe", "app", 1, 2000, false)}
	before := Config(11, routes, map[string][]string{"t-a": {"key-a"}, "t-b": {"key-b", "key-b2"}})
	after := Config(12, routes, map[string][]string{"t-a": {"key-a"}, "t-b": {"key-b2"}})
	l.Store.Put("config", "main", before)
	l.StartFronts(3, 150*time.Millisecond, nil)
	time.Sleep(4 * time.Second)
	begin := time.Now()
	var list []*drillSent
	done := make(chan struct{})
	go func() { list = askDrill(l, begin); close(done) }()

	restart := len(os.Args) > 3 && os.Args[3] == "restart"
	time.Sleep(3 * time.Second)
	l.Store.Copy()
	if restart {
		time.Sleep(500 * time.Millisecond)
	} else {
		time.Sleep(time.Second)
	}
	if !l.Store.Put("config", "main", after) {
		l.Exit(2)
	}
	acked := time.Now()
	l.Notef("the store acknowledges version 12, without key-b")
	if restart {
		time.Sleep(3500 * time.Millisecond)
	} else {
		time.Sleep(250 * time.Millisecond)
	}
	if trouble {
		l.Store.SetAway(true)
		l.Notef("the store is away")
		if restart {
			time.Sleep(drillAway - 2*time.Second)
			killFront(l, l.Fronts[1])
			time.Sleep(1500 * time.Millisecond)
		} else {
			time.Sleep(drillAway)
		}
		l.Store.Rewind()
		l.Store.SetAway(false)
		l.Notef("the store is back from a copy: %s", l.Store.Describe())
		time.Sleep(drillAgain)
		l.Store.Put("config", "main", after)
		l.Notef("the operator has written version 12 again: %s", l.Store.Describe())
	}
	<-done
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	broken, served := 0, 0
	for _, s := range list {
		text := ""
		if ran[s.id] != "" && s.key == "key-a" {
			served++
		}
		if ran[s.id] != "" && s.key == "key-b" && s.at.Sub(acked) > drillRevoke {
			broken++
			text = "BROKEN: runs with a key that was withdrawn before"
		}
		l.Notef("%s sent %.3f s after the acknowledgement to %s with %s: status %d, ran at %q %s", s.id, s.at.Sub(acked).Seconds(), s.front, s.key, s.status, ran[s.id], text)
	}
	for _, r := range l.Store.Reads() {
		l.Notef("the configuration is read %.3f s after the acknowledgement by %s: version %v", r.At.Sub(acked).Seconds(), r.From, r.Version)
	}
	l.Notef("%d requests, %d with key-a ran, %d with key-b ran though sent more than %v after its withdrawal", len(list), served, broken, drillRevoke)
	fmt.Printf("%d requests, %d with key-a ran, %d with key-b ran though sent more than %v after its withdrawal\n", len(list), served, broken, drillRevoke)
	switch {
	case broken > 0:
		l.Exit(1)
	case served < len(list)/8:
		l.Exit(2)
	}
	l.Exit(0)
}

// killFront kills the process of an entry daemon, which is started again after a short delay.
func killFront(l *Lab, f *Front) {
	_ = f.Cmd.Process.Kill()
	l.Notef("%s is killed", f.Name)
	time.Sleep(500 * time.Millisecond)
	l.StartFront(f)
	l.Notef("%s starts", f.Name)
}

// askDrill sends requests with both keys to all entry daemons.
func askDrill(l *Lab, begin time.Time) []*drillSent {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	var wg sync.WaitGroup
	var list []*drillSent
	for i := 0; time.Since(begin) < 20*time.Second; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * 25 * time.Millisecond)))
		s := &drillSent{id: fmt.Sprintf("req-%05d", i), front: l.Fronts[i%3].Addr, key: []string{"key-a", "key-b"}[i/3%2], at: time.Now()}
		list = append(list, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			req, _ := http.NewRequest(http.MethodPost, "http://"+s.front+"/order/x/", strings.NewReader("order "+s.id))
			req.Host = "h.example"
			req.Header.Set("X-Request-Id", s.id)
			req.Header.Set("X-Deadline-Ms", "2000")
			req.Header.Set("X-Api-Key", s.key)
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			s.status = resp.StatusCode
		}()
	}
	wg.Wait()
	return list
}
