package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// exceptions are quoted texts that are not in the source, with the reason.
var exceptions = map[string]string{
	"bin/":             "made by make build",
	"hex64":            "a placeholder in the engine's interface",
	"expires at":       "a field of a design that was not chosen",
	"gonum/plot":       "short for gonum.org/v1/plot",
	"gopkg.in/yaml.v3": "a library that is not used, and why",
	"quiet-1":          "a day of the users' bench",
	"vsp_ID_SECRET":    "the form of a key, with placeholders",
}

// partsPage names components by their packages in internal/core.
const partsPage = "docs/PARTS.md"

// logPrefixes are the prefixes of log lines that operators know.
const logPrefixes = `catalog|claim|config|daemon|fleet|gate|lease|link|log|member|peers|reducer|request|roles|roster|route|usage`

var (
	spanPattern    = regexp.MustCompile("`([^`\n]+)`")
	logPattern     = regexp.MustCompile(`^(` + logPrefixes + `): +([A-Za-z][^=…/]*?)(?:  .*|(?: [a-z_]+=.*)|)$`)
	rowPattern     = regexp.MustCompile("^\\| `(" + logPrefixes + "):` \\|")
	keyPattern     = regexp.MustCompile(`(?:^| )([a-z_]+)=`)
	testPattern    = regexp.MustCompile(`^(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	pathPattern    = regexp.MustCompile(`^(?:\./)?[\w.-]+(?:/[\w.-]+)+/?$|^[\w.-]+/$`)
	filePattern    = regexp.MustCompile(`^[\w.-]+\.(?:go|md|yaml|yml|toml|json|sh|txt|mod)$`)
	commandPattern = regexp.MustCompile(`^(?:[A-Z_]+=\S+ )*(make|verbenaspurctl|verbenaspurd|verbenaspur-standin|go test) ?(.*)$`)
	metricPattern  = regexp.MustCompile(`^verbenaspur_[a-z_]+(?:\{[a-z,]+\})?$`)
	toolPattern    = regexp.MustCompile(`^(?:grep|fleetbench) `) // commands of other tools
	numberPattern  = regexp.MustCompile(`\b\d\w*`)               // also durations, such as 1m0s
	// componentPattern matches a package of one of the families of components.
	componentPattern = regexp.MustCompile(`^(?:direct|pool)/[a-z]+$`)
	packagePattern   = regexp.MustCompile(`^[a-z]+$`)
	textPattern      = regexp.MustCompile(`^[A-Za-z][a-z']*(?:,? [a-z']+)+$`) // a log or error text
	flagPattern      = regexp.MustCompile(`(?:^| )--([a-z][a-z-]*)`)
)

// pages returns the documentation's pages, relative to the root.
func pages(t *testing.T) []string {
	is := is.New(t)
	out := []string{"README.md", "CONTRIBUTING.md"}
	is.NoErr(filepath.WalkDir(filepath.Join(root, "docs"), func(path string, d fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".md" {
			path, err = filepath.Rel(root, path)
			out = append(out, path)
		}
		return err
	}))
	return out
}

// TestQuotedNamesExist guards against pages that quote a name, a path, a command
// or a log line that the source no longer has.
func TestQuotedNamesExist(t *testing.T) {
	is := is.New(t)
	src := readSource(t)
	used := map[string]bool{}
	for _, page := range pages(t) {
		text, err := os.ReadFile(filepath.Join(root, page))
		is.NoErr(err)
		c := checker{src: src, page: page, captured: isCapture(page), used: used}
		for i, line := range strings.Split(string(text), "\n") {
			for _, missing := range c.line(line) {
				t.Errorf("%s:%d: not in the source: %s", page, i+1, missing)
			}
		}
	}
	for e := range exceptions {
		if !used[e] {
			t.Errorf("exception %q is not needed", e)
		}
	}
}

// isCapture reports whether a page quotes output of runs of earlier builds, whose
// log texts may differ from the present ones. Its other names are checked.
func isCapture(page string) bool {
	return strings.HasPrefix(page, "docs/incidents/") || strings.HasPrefix(page, "docs/measurements/")
}

// checker checks the lines of a page.
type checker struct {
	src      *source
	page     string
	captured bool
	fenced   bool
	used     map[string]bool
}

// line returns the quoted texts of a line that the source does not have.
func (c *checker) line(line string) []string {
	if strings.HasPrefix(line, "```") {
		c.fenced = !c.fenced
		return nil
	}
	if c.fenced || strings.HasPrefix(line, "    ") {
		return c.block(strings.TrimSpace(line))
	}
	var missing []string
	row := rowPattern.FindStringSubmatch(line)
	for _, m := range spanPattern.FindAllStringSubmatch(line, -1) {
		span := m[1]
		if row != nil && strings.ContainsRune(span, ' ') && !c.src.logs(row[1], span, nil) {
			missing = append(missing, row[1]+": "+span)
		} else if !c.exists(span) {
			missing = append(missing, span)
		}
	}
	return missing
}

// block checks a line of a code block: a command or a log line. Other lines are
// free text.
func (c *checker) block(line string) []string {
	command, _, _ := strings.Cut(line, " #")
	command = strings.TrimSpace(command)
	switch {
	case commandPattern.MatchString(command) && !c.command(command),
		logPattern.MatchString(line) && !c.log(line):
		return []string{line}
	}
	return nil
}

// exists reports whether the source has what a span in backticks names.
func (c *checker) exists(span string) bool {
	if _, ok := exceptions[span]; ok {
		c.used[span] = true
		return true
	}
	switch {
	case logPattern.MatchString(span):
		return c.log(span)
	case toolPattern.MatchString(span):
		return true
	case componentPattern.MatchString(span):
		return c.src.component(span)
	case c.page == partsPage && packagePattern.MatchString(span):
		return c.src.component(span) || c.src.component("direct/"+span) || c.src.component("pool/"+span)
	case c.captured && strings.ContainsAny(span, "=:") && !testPattern.MatchString(span) && !commandPattern.MatchString(span):
		return true // captured output
	case testPattern.MatchString(span):
		name, rest, _ := strings.Cut(span, "…")
		return rest == "" && (c.src.words[name] || name != span && c.src.hasPrefix(name))
	case commandPattern.MatchString(span):
		return c.command(span)
	case textPattern.MatchString(span) && !c.captured:
		return c.src.literal(span) || c.src.hasText(span)
	case pathPattern.MatchString(span):
		return c.path(span) || c.src.library(span)
	case filePattern.MatchString(span):
		return c.src.files[span] || c.path(span) || c.src.literal(span)
	case metricPattern.MatchString(span):
		return c.words(span) || c.words(strings.TrimPrefix(span, "verbenaspur_"))
	case strings.HasPrefix(span, "_"):
		return c.src.hasSuffix(span)
	}
	return c.flags(span) && c.words(span)
}

// log checks a log line: its text and the keys of its attributes.
func (c *checker) log(line string) bool {
	if c.captured {
		return true
	}
	m := logPattern.FindStringSubmatch(line)
	var keys []string
	for _, k := range keyPattern.FindAllStringSubmatch(line, -1) {
		keys = append(keys, k[1])
	}
	return c.src.logs(m[1], strings.TrimSpace(m[2]), keys)
}

// command checks a command line: subcommand or target, flags, paths and tests.
func (c *checker) command(line string) bool {
	m := commandPattern.FindStringSubmatch(line)
	fields := strings.Fields(m[2])
	for i, f := range fields {
		known := true
		switch name := strings.TrimPrefix(f, "./"); {
		case m[1] == "make":
			known = c.src.makeTargets[f]
		case testPattern.MatchString(f):
			known = c.src.words[f]
		case name != f && m[1] == "go test":
			known = c.path(name)
		case i == 0 && !strings.HasPrefix(f, "-") && f != strings.ToUpper(f):
			known = c.src.literal(f)
		}
		if !known {
			return false
		}
	}
	return c.flags(line)
}

func (c *checker) flags(text string) bool {
	for _, m := range flagPattern.FindAllStringSubmatch(text, -1) {
		if m[1] != "help" && !c.src.literal(m[1]) {
			return false
		}
	}
	return true
}

// path reports whether a path exists, from the root or from the page.
func (c *checker) path(path string) bool {
	for _, base := range []string{".", "docs", filepath.Dir(c.page)} {
		if _, err := os.Stat(filepath.Join(root, base, path)); err == nil {
			return true
		}
	}
	return false
}

// words reports whether the source has each word of a text. It leaves out words
// in capitals, which are placeholders, and words of one or two letters.
func (c *checker) words(text string) bool {
	text = numberPattern.ReplaceAllString(text, "")
	for _, w := range wordPattern.FindAllString(text, -1) {
		_, excepted := exceptions[w]
		c.used[w] = c.used[w] || excepted
		if !excepted && len(w) > 2 && w != strings.ToUpper(w) && !c.src.words[w] && !c.parts(w) {
			return false
		}
	}
	return true
}

// parts reports whether the source has each part of a word with hyphens.
func (c *checker) parts(word string) bool {
	parts := strings.Split(word, "-")
	for _, p := range parts {
		if !c.src.words[p] {
			return false
		}
	}
	return len(parts) > 1
}
