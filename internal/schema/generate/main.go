// Command generate writes the published JSON Schemas. Its argument is the root
// of the repository.
package main

import (
	"log/slog"
	"os"
	"path/filepath"

	"github.com/verbenaspur/verbenaspur/internal/schema"
)

func main() {
	if err := run(os.Args[1]); err != nil {
		slog.Error("schema: failed to write", "error", err)
		os.Exit(1)
	}
}

func run(root string) error {
	files, err := schema.Generate(root)
	if err != nil {
		return err
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(root, f.Name), f.Text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
