package lab2

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	crashPerSecond = 60
	crashLastEvent = 60
	crashLength    = 26 * time.Second
)

// crashRun is what a runner said of a stream that it began.
type crashRun struct {
	runner          string
	unframed, ended bool
}

type crashBook struct {
	mu   sync.Mutex
	runs map[string][]*crashRun
}

func (b *crashBook) line(runner, text string) {
	f := strings.Fields(text)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch f[0] {
	case "stream":
		b.runs[f[1]] = append(b.runs[f[1]], &crashRun{runner: runner, unframed: f[4] == "unframed=true"})
	case "end":
		for _, r := range b.runs[f[1]] {
			if r.runner == runner {
				r.ended = true
			}
		}
	}
}

// crashAnswer is what a client received.
type crashAnswer struct {
	id, path, front string
	sent            time.Time
	status          int
	complete        bool
	last            int
	err             string
}

// crashMain kills runners while some of their streams are unframed.
func crashMain() {
	l, trouble := New(os.Args[2])
	b := &crashBook{runs: map[string][]*crashRun{}}
	var runners []*Runner
	for i := range 4 {
		share := "0"
		if i < 2 {
			share = "0.05"
		}
		r := &Runner{Service: "llm", Zone: fmt.Sprintf("z-%d", i%3+1), Engine: true, Args: []string{"--unframed", share, "--events", strconv.Itoa(crashLastEvent)}}
		l.StartRunner(r, b.line)
		runners = append(runners, r)
	}
	routes := []map[string]any{Route("brief", "/brief/", "streaming", "llm", 1, 5000, false), Route("query", "/query/", "streaming", "llm", 2, 5000, true)}
	l.Store.Put("config", "main", Config(7, routes, map[string][]string{"t-a": {"key-a"}}))
	l.StartFronts(2, 100*time.Millisecond, nil)
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if trouble {
		go func() {
			for i, at := range []time.Duration{5, 12, 19} {
				time.Sleep(time.Until(begin.Add(at * time.Second)))
				runners[i%2].Crash()
				time.Sleep(2 * time.Second)
				runners[i%2].Restart()
			}
		}()
	}
	answers := askCrash(l, begin)
	time.Sleep(500 * time.Millisecond)
	l.Exit(judgeCrash(l, b, answers))
}

func askCrash(l *Lab, begin time.Time) []*crashAnswer {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var list []*crashAnswer
	for i := 0; time.Since(begin) < crashLength; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / crashPerSecond)))
		a := &crashAnswer{id: fmt.Sprintf("req-%05d", i), path: []string{"/brief/x/", "/query/x/"}[i%2], front: l.Fronts[i/2%2].Addr}
		mu.Lock()
		list = append(list, a)
		mu.Unlock()
		wg.Add(1)
		go func() { defer wg.Done(); a.send(client, i) }()
	}
	wg.Wait()
	return list
}

func (a *crashAnswer) send(client *http.Client, i int) {
	a.sent = time.Now()
	req, _ := http.NewRequest(http.MethodPost, "http://"+a.front+a.path, strings.NewReader("a question"))
	req.Host = "h.example"
	for k, v := range map[string]string{
		"X-Request-Id": a.id, "X-Model": "m", "X-Token-Usage": "300,60", "X-Deadline-Ms": "5000", "X-Api-Key": "key-a",
		"X-Prefix-Hash": fmt.Sprintf("aa:100,%x:200", 1000+i),
	} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err.Error()
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	a.complete = err == nil
	if err != nil {
		a.err = err.Error()
	}
	for _, line := range bytes.Split(body, []byte("\n")) {
		if n, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			a.last, _ = strconv.Atoi(string(n))
		}
	}
}

// judgeCrash writes the record and reports whether a stream ended as complete before its last
// piece.
func judgeCrash(l *Lab, b *crashBook, list []*crashAnswer) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	whole, cut, other, broken := 0, 0, 0, 0
	for _, a := range list {
		var runs []string
		for _, r := range b.runs[a.id] {
			runs = append(runs, fmt.Sprintf("%s unframed=%t ended=%t", r.runner, r.unframed, r.ended))
		}
		verdict := "other"
		switch {
		case a.status == 200 && a.complete && a.last == crashLastEvent:
			verdict = "whole"
			whole++
		case a.status == 200 && a.complete:
			verdict = "BROKEN: ended as complete before its last piece"
			broken++
		case a.status == 200:
			verdict = "cut"
			cut++
		default:
			other++
		}
		l.Notef("%s sent at %.3f s to %s%s: status %d, last event %d of %d, %s; runs: %s %s",
			a.id, a.sent.Sub(l.Start).Seconds(), a.front, a.path, a.status, a.last, crashLastEvent, verdict, strings.Join(runs, "; "), a.err)
	}
	l.Notef("%d streams: %d whole, %d cut, %d other ends, %d complete before their last piece", len(list), whole, cut, other, broken)
	fmt.Printf("%d streams: %d whole, %d cut, %d other ends, %d complete before their last piece\n", len(list), whole, cut, other, broken)
	switch {
	case broken > 0:
		return 1
	case whole < len(list)/2:
		return 2
	}
	return 0
}
