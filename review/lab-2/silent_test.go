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
	silentEvents = 150
	silentGap    = 40 * time.Millisecond
	// silentBeside is how long a runner may still work on a request that goes on elsewhere.
	silentBeside = 400 * time.Millisecond
	silentLength = 18 * time.Second
	// silentLostShare is how many in a thousand answers of the runner are lost, for silentLostFor.
	silentLostShare = 300
	silentLostFor   = 6 * time.Second
)

// silentSpan is the time in which a runner worked on a request.
type silentSpan struct {
	runner   string
	from, to time.Time
}

type silentBook struct {
	mu   sync.Mutex
	runs map[string][]*silentSpan
}

func (b *silentBook) line(runner, text string) {
	f := strings.Fields(text)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch f[0] {
	case "stream":
		b.runs[f[1]] = append(b.runs[f[1]], &silentSpan{runner: runner, from: time.Now()})
	case "end", "drop":
		for _, s := range b.runs[f[1]] {
			if s.runner == runner && s.to.IsZero() {
				s.to = time.Now()
			}
		}
	}
}

// silentMain lets the answers of one runner be lost. The runner is one of those that
// do not drop a request when its connection closes.
func silentMain() {
	l, trouble := New(os.Args[2])
	b := &silentBook{runs: map[string][]*silentSpan{}}
	var first *Runner
	for i := range 8 {
		args := []string{"--events", strconv.Itoa(silentEvents), "--gap", silentGap.String()}
		if i == 0 {
			args = append(args, "--keeps")
		}
		r := &Runner{Service: "llm", Zone: fmt.Sprintf("z-%d", i%3+1), Engine: true, Args: args}
		l.StartRunner(r, b.line)
		if i == 0 {
			first = r
		}
	}
	route := Route("query", "/query/", "streaming", "llm", 2, 15000, true)
	route["slo_ms"], route["gap_target_ms"] = 100, 150
	l.Store.Put("config", "main", Config(7, []map[string]any{route}, map[string][]string{"t-a": {"key-a"}}))
	l.StartFronts(2, 100*time.Millisecond, nil)
	time.Sleep(3 * time.Second)
	if trouble {
		go func() {
			time.Sleep(6 * time.Second)
			first.Lose(silentLostShare)
			time.Sleep(silentLostFor)
			first.Lose(0)
		}()
	}
	ends := askSilent(l)
	time.Sleep(7 * time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	broken, whole := 0, 0
	for _, e := range ends {
		var text []string
		if e.status == 200 && e.last == silentEvents {
			whole++
		}
		runs := b.runs[e.id]
		for i, s := range runs {
			if s.to.IsZero() {
				s.to = time.Now()
			}
			text = append(text, fmt.Sprintf("%s from %.3f to %.3f s", s.runner, s.from.Sub(l.Start).Seconds(), s.to.Sub(l.Start).Seconds()))
			if i > 0 && runs[i-1].to.Sub(s.from) > silentBeside {
				text = append(text, "BROKEN: goes on while the runner before still works on it")
				broken++
			}
		}
		l.Notef("%s: status %d, last event %d; %s", e.id, e.status, e.last, strings.Join(text, "; "))
	}
	l.Notef("%d streams, %d whole, %d went on at another runner beside the one before", len(ends), whole, broken)
	fmt.Printf("%d streams, %d whole, %d went on at another runner beside the one before\n", len(ends), whole, broken)
	switch {
	case broken > 0:
		l.Exit(1)
	case whole < len(ends)/2:
		l.Exit(2)
	}
	l.Exit(0)
}

type silentEnd struct {
	id           string
	status, last int
}

func askSilent(l *Lab) []*silentEnd {
	client := &http.Client{Timeout: 16 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
	var wg sync.WaitGroup
	var list []*silentEnd
	begin := time.Now()
	for i := 0; time.Since(begin) < silentLength; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * 25 * time.Millisecond)))
		e := &silentEnd{id: fmt.Sprintf("req-%05d", i)}
		list = append(list, e)
		wg.Add(1)
		go func() {
			defer wg.Done()
			req, _ := http.NewRequest(http.MethodPost, "http://"+l.Fronts[i%2].Addr+"/query/x/", strings.NewReader("a question"))
			req.Host = "h.example"
			for k, v := range map[string]string{
				"X-Request-Id": e.id, "X-Model": "m", "X-Token-Usage": "300,300", "X-Deadline-Ms": "15000", "X-Api-Key": "key-a",
				"X-Prefix-Hash": fmt.Sprintf("aa:100,%x:200", 1000+i),
			} {
				req.Header.Set(k, v)
			}
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			e.status = resp.StatusCode
			body, _ := io.ReadAll(resp.Body)
			for _, line := range bytes.Split(body, []byte("\n")) {
				if n, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
					e.last, _ = strconv.Atoi(string(n))
				}
			}
		}()
	}
	wg.Wait()
	return list
}
