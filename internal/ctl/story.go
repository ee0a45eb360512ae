package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/verbenaspur/verbenaspur/internal/story"
)

// storyCommand returns the command that shows the log lines of a request.
func storyCommand() *cli.Command {
	return &cli.Command{
		Name:      "story",
		Usage:     "show the course of a request from the log files of entry daemons",
		ArgsUsage: "REQUEST-ID LOG...",
		UsageText: "verbenaspurctl story 9c41d07be2a35f68 entry-1.log entry-2.log",
		Description: "Prints the lines of all logs that name the request, sorted by time: to which targets\n" +
			"it was sent and why, how each attempt ended, and the response to the caller. A retry by\n" +
			"the caller has a request ID of its own.",
		Action: runStory,
	}
}

func runStory(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() < 2 {
		return usageErrorf("the request ID and at least one log file are required")
	}
	id := cmd.Args().First()
	var lines []story.Line
	for _, path := range cmd.Args().Tail() {
		found, err := readStory(path, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Newf("no line in these logs names request %s", id)
	}
	story.Sort(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(cmd.Root().Writer, l.Format()); err != nil {
			return err
		}
	}
	return nil
}

func readStory(path, id string) ([]story.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()
	return story.Read(path, f, id)
}
