package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
)

const inForcePollInterval = 50 * time.Millisecond

func publishCommand(o *options) command {
	parser := flaggy.NewSubcommand("publish")
	parser.Description = "Publish a directory of files and wait until they are in force. Example: cardamompier publish -p http://127.0.0.1:7500 services/"
	parser.AddPositionalValue(&o.dir, "dir", 1, true, "the directory")
	parser.Duration(&o.wait, "w", "wait", "longest wait until in force on every entry host; 0 does not wait")
	return command{parser: parser, run: runPublish}
}

func runPublish(o options) int {
	files, code := readFiles(o.dir)
	if code != 0 {
		return code
	}
	ctx := context.Background()
	store := kvhttp.NewClient(o.platform)
	writer, _ := os.Hostname()
	publisher := config.Publisher{Store: store, Writer: writer, Now: time.Now}
	published, err := publisher.Publish(ctx, config.Change{Files: files})
	if err != nil {
		return fail(exitCodeOf(err), err)
	}
	fmt.Printf("published revision %d\n", published.Revision)
	if o.wait == 0 {
		return 0
	}
	return waitInForce(ctx, store, published.Revision, o.wait)
}

func exitCodeOf(err error) int {
	var failed *config.PublishError
	if !errors.As(err, &failed) {
		return exitFailed
	}
	switch failed.Reason {
	case config.PublishConflict:
		return exitConflict
	case config.PublishUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// waitInForce asks every entry host until all have the revision.
func waitInForce(ctx context.Context, store *kvhttp.Client, revision uint64, wait time.Duration) int {
	deadline := time.Now().Add(wait)
	for {
		statuses, err := readStatuses(ctx, store)
		behind := hostsBehind(statuses, revision)
		if err == nil && len(statuses) > 0 && len(behind) == 0 {
			fmt.Printf("revision %d is in force on %d entry hosts\n", revision, len(statuses))
			return 0
		}
		if time.Now().After(deadline) {
			fmt.Fprintln(os.Stderr, "cardamompier: not in force on", behind)
			return exitNotInForce
		}
		time.Sleep(inForcePollInterval)
	}
}

func hostsBehind(statuses []hostStatus, revision uint64) []string {
	var behind []string
	for _, s := range statuses {
		if s.Error != "" || s.Revision < revision {
			behind = append(behind, s.Host)
		}
	}
	return behind
}
