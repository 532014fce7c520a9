package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cardamompier/cardamompier/rollout/agent"
)

func rolloutsCommand(o *options) command {
	c := newCommand("rollouts", "Show the roll-outs of upstream versions as one entry host sees them, from its metrics endpoint.",
		"cardamompier rollouts 127.0.0.1:7605", runRollouts)
	c.parser.AddPositionalValue(&o.first, "ADDRESS", 1, true, "metrics address of an entry host")
	c.local = true
	return c
}

// endpointError reports a metrics endpoint that could not be read.
type endpointError struct {
	Address string
	Status  int // of the answer; 0 if there was none
	Cause   error
}

// Error returns the address, the status and the cause, to implement error.
func (e *endpointError) Error() string {
	msg := "metrics endpoint " + e.Address
	if e.Status != 0 {
		msg += ": status " + strconv.Itoa(e.Status)
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, or nil.
func (e *endpointError) Unwrap() error { return e.Cause }

func runRollouts(s *session) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	statuses, err := readRollouts(ctx, s.first)
	if err != nil {
		return s.fail(exitFailed, err)
	}
	if s.json {
		s.print(statuses)
		return 0
	}
	s.printf("%-20s %-16s %-10s %-12s %6s %9s %6s %9s  %s\n", "HOST", "POOL", "TARGET", "PHASE", "SHARE", "TO TARGET", "FAILED", "AT OLD", "REMARK")
	for _, r := range statuses {
		ended, failed := int64(0), int64(0)
		for _, e := range r.Evidence {
			if e.Version == r.Target {
				ended, failed = ended+e.Ended, failed+e.Failed
			}
		}
		s.printf("%-20s %-16s %-10s %-12s %6.2f %9d %6d %9d  %s\n", r.Host, r.Pool, r.Target, phaseOf(r), r.Share, ended, failed, r.AtOld, remarkOf(r))
	}
	return 0
}

// phaseOf returns the phase for the table.
func phaseOf(r agent.Status) string {
	if r.Phase == "" {
		return "ordered"
	}
	return string(r.Phase)
}

// remarkOf returns what is noteworthy of a roll-out.
func remarkOf(r agent.Status) string {
	switch {
	case r.Stopped != "":
		return "stopped: " + r.Stopped
	case r.Phase.Final():
		return ""
	case r.DirectiveAgeMS < 0:
		return "no directive yet"
	case r.Open:
		return "open"
	default:
		return "directive " + strconv.FormatInt(r.DirectiveAgeMS, 10) + " ms ago"
	}
}

// readRollouts reads the roll-outs from the metrics endpoint of an entry host.
func readRollouts(ctx context.Context, address string) ([]agent.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, &endpointError{Address: address, Cause: err}
	}
	res, err := hostClient.Do(req)
	if err != nil {
		return nil, &endpointError{Address: address, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, &endpointError{Address: address, Status: res.StatusCode}
	}
	var vars struct {
		Rollouts []agent.Status `json:"rollouts"`
	}
	if err := json.NewDecoder(res.Body).Decode(&vars); err != nil {
		return nil, &endpointError{Address: address, Cause: err}
	}
	return vars.Rollouts, nil
}
