package daemon

import (
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
