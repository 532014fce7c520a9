package main

import (
	"context"
	"os"
	"os/user"
	"time"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/kv"
)

func publishCommand(o *options) command {
	c := newCommand("publish", "Publish a directory of files, and wait until they are in force everywhere.",
		"cardamompier publish --platform http://127.0.0.1:7500 services/", runPublish)
	c.parser.AddPositionalValue(&o.first, "dir", 1, true, "the directory")
	addWait(c, o)
	c.parser.UInt64(&o.base, "b", "base", "revision that the files were prepared from; an item changed since is a conflict")
	c.parser.StringSlice(&o.remove, "r", "remove", "item to remove, as service/NAME or account/NAME; may be repeated")
	return c
}

func addWait(c command, o *options) {
	c.parser.Duration(&o.wait, "w", "wait", "longest wait until in force on every entry host; 0s does not wait")
}

// publishResult is the JSON output for an accepted publish.
type publishResult struct {
	config.PublishResult
	// InForce is false if the command did not wait, or if the wait ended before the revision
	// was in force on every entry host.
	InForce bool     `json:"in_force"`
	Hosts   int      `json:"hosts"`
	Behind  []string `json:"behind,omitempty"`
}

func runPublish(s *session) int {
	files, code := s.readFiles(s.first)
	if code != 0 {
		return code
	}
	change := config.Change{Files: files}
	for _, text := range s.remove {
		item, err := config.ParseItem(text)
		if err != nil {
			return s.fail(exitUsage, err)
		}
		change.Remove = append(change.Remove, item)
	}
	return s.publish(func(ctx context.Context, p *config.Publisher) (config.PublishResult, error) {
		if s.base != 0 {
			return p.PublishFrom(ctx, change, s.base)
		}
		return p.Publish(ctx, change)
	})
}

// publish runs call with a new publisher, prints the result, and waits up to s.wait until the
// published revision is in force. It returns the exit code.
func (s *session) publish(call func(context.Context, *config.Publisher) (config.PublishResult, error)) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	published, err := call(ctx, newPublisher(s.store))
	if err != nil {
		return s.failPublish(err)
	}
	if !s.json && published.Changed {
		s.printf("published revision %d\n", published.Revision)
	}
	if !s.json && !published.Changed {
		s.printf("nothing to change; revision %d holds it\n", published.Revision)
	}
	result := publishResult{PublishResult: published}
	if s.wait > 0 {
		s.awaitInForce(&result)
	}
	return s.printPublished(result)
}

func (s *session) printPublished(result publishResult) int {
	code := 0
	if s.wait > 0 && !result.InForce {
		code = exitNotInForce
	}
	switch {
	case s.json:
		s.print(result)
	case result.InForce:
		s.printf("revision %d is in force on %d entry hosts\n", result.Revision, result.Hosts)
	case code != 0:
		return s.fail(code, &notInForceError{Revision: result.Revision, Behind: result.Behind})
	}
	return code
}

// newPublisher returns a publisher that records USER@HOST of the operator as the writer.
func newPublisher(store kv.Store) *config.Publisher {
	host, _ := os.Hostname()
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	return &config.Publisher{Store: store, Writer: name + "@" + host, Now: time.Now}
}
