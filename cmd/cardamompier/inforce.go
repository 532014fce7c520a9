package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

const inForcePollInterval = 100 * time.Millisecond

// notInForceError reports a revision that is not yet in force on the entry hosts in Behind,
// or that no entry host is registered.
type notInForceError struct {
	Revision uint64
	Behind   []string
}

// Error returns the revision and the entry hosts that lack it, to implement error.
func (e *notInForceError) Error() string {
	hosts := "any entry host, for none is registered"
	if len(e.Behind) > 0 {
		hosts = strings.Join(e.Behind, ", ")
	}
	return "revision " + strconv.FormatUint(e.Revision, 10) + " is not yet in force on " + hosts
}

// awaitInForce polls the status of every entry host until the revision is in force on all of
// them or s.wait has passed, and stores what it found in result.
func (s *session) awaitInForce(result *publishResult) {
	ctx, cancel := context.WithTimeout(context.Background(), s.wait)
	defer cancel()
	for {
		statuses, err := readStatuses(ctx, s.store)
		if err == nil {
			result.Hosts, result.Behind = len(statuses), hostsBehind(statuses, result.Revision)
			result.InForce = len(statuses) > 0 && len(result.Behind) == 0
		}
		if result.InForce {
			return
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func hostsBehind(statuses []hostStatus, revision uint64) []string {
	return lo.FilterMap(statuses, func(s hostStatus, _ int) (string, bool) {
		return s.Host, s.Error != "" || s.Revision < revision
	})
}
