package main

import (
	"context"
	"strconv"

	"github.com/cardamompier/cardamompier/config"
)

func rollbackCommand(o *options) command {
	c := newCommand("rollback", "Publish the items of an older revision as a new revision.",
		"cardamompier rollback --platform http://127.0.0.1:7500 4", runRollback)
	c.parser.AddPositionalValue(&o.first, "revision", 1, true, "the older revision")
	addWait(c, o)
	return c
}

func runRollback(s *session) int {
	revision, err := strconv.ParseUint(s.first, 10, 64)
	if err != nil || revision == 0 {
		return s.fail(exitUsage, &usageError{Argument: "revision " + s.first, Expected: "a positive number"})
	}
	return s.publish(func(ctx context.Context, p *config.Publisher) (config.PublishResult, error) {
		return p.Rollback(ctx, revision)
	})
}
