package daemon

import (
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPromptTextFormats(t *testing.T) {
	cases := []struct {
		name, body, want string
		chat             bool
	}{
		{"string", `{"model":"m","messages":[{"role":"user","content":"ab"},{"role":"user","content":"c"}]}`, "abc", true},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"ab"},{"type":"text","text":"c"}]}]}`, "abc", true},
		{"prompt", `{"model":"m","prompt":"abc"}`, "abc", false},
		{"prompts", `{"model":"m","prompt":["ab","c"]}`, "abc", false},
		{"tokens", `{"model":"m","prompt":[1,[2],null,"c"]}`, "", false},
		{"odd parts", `{"model":"m","prompt":[[2],null,"c"]}`, "c", false},
		{"null", `{"model":"m","messages":null,"prompt":null}`, "", false},
		{"odd contents", `{"model":"m","messages":[{"content":"a"},{},{"content":7},{"content":{"text":"x"}},{"content":[{"text":"b"},{"text":7}]},null]}`, "ab", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, err := parseOpenAI([]byte(c.body), c.chat)
			is.NoErr(err)
			is.Equal(r.promptText(), c.want)
		})
	}
}

// However many values a body of legal size is made of, reading it takes at most half of the
// 64 MB that a daemon may take for control.
func TestManySmallValuesTakeLittleMemory(t *testing.T) {
	repeat := func(before, value string) string {
		return before + strings.Repeat(value+",", (maxBody-len(before))/(len(value)+1)-1) + value + "]"
	}
	const message = `{"role":"user","content":"some text of a message"}`
	for name, tc := range map[string]struct {
		body string
		chat bool
	}{
		"messages":   {repeat(`{"model":"m","messages":[`, "{}") + "}", true},
		"contents":   {repeat(`{"model":"m","messages":[`, `{"content":""}`) + "}", true},
		"parts":      {repeat(`{"model":"m","messages":[{"content":[`, "{}") + "}]}", true},
		"strings":    {repeat(`{"model":"m","prompt":[`, `""`) + "}", false},
		"tokens":     {repeat(`{"model":"m","prompt":[`, "1") + "}", false},
		"lists":      {repeat(`{"model":"m","prompt":[`, "[]") + "}", false},
		"dialogue":   {repeat(`{"model":"m","messages":[`, message) + "}", true},
		"other list": {repeat(`{"model":"m","prompt":"","other":[`, "{}") + "}", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			body := []byte(tc.body)
			is.True(len(body) <= maxBody+10)
			runtime.ReadMemStats(&before)
			if r, err := parseOpenAI(body, tc.chat); err == nil {
				_ = r.promptText()
			}
			runtime.ReadMemStats(&after)
			if taken := after.TotalAlloc - before.TotalAlloc; taken > 32<<20 {
				t.Errorf("a body of %d bytes took %d", len(body), taken)
			}
		})
	}
}

func FuzzParseOpenAI(f *testing.F) {
	f.Add([]byte(chat("x", 1, true)), true)
	f.Add([]byte(`{"model":"m","prompt":["ab",{"text":"c"}],"max_tokens":-1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, isChat bool) {
		r, err := parseOpenAI(body, isChat)
		if err != nil {
			return
		}
		if len(r.promptText()) > 2*len(body) {
			t.Fatal("the prompt is longer than the body allows")
		}
		if r.maxTokens() < 0 {
			t.Fatal("a negative limit was let in")
		}
	})
}
