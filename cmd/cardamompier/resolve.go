package main

import (
	"context"
	"strconv"

	"github.com/cardamompier/cardamompier/config"
)

func resolveCommand(o *options) command {
	c := newCommand("resolve", "Tell what became of a publish whose outcome was unknown.",
		"cardamompier resolve --platform http://127.0.0.1:7500 7 0d5b6c1e-...", runResolve)
	c.parser.AddPositionalValue(&o.first, "revision", 1, true, "the revision that the publish reported")
	c.parser.AddPositionalValue(&o.second, "nonce", 2, true, "the nonce that the publish reported")
	return c
}

// resolveResult is the JSON output of the resolve command: the outcome of a publish.
type resolveResult struct {
	Revision uint64         `json:"revision"`
	Nonce    string         `json:"nonce"`
	Outcome  config.Outcome `json:"outcome"`
}

func runResolve(s *session) int {
	revision, err := strconv.ParseUint(s.first, 10, 64)
	if err != nil {
		return s.fail(exitUsage, &usageError{Argument: "revision " + s.first, Expected: "a number"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	outcome, err := config.Resolve(ctx, s.store, revision, s.second)
	if err != nil {
		return s.fail(exitFailed, err)
	}
	if s.json {
		s.print(resolveResult{Revision: revision, Nonce: s.second, Outcome: outcome})
	} else {
		s.printf("revision %d: the publish %s\n", revision, outcomeText(outcome))
	}
	if outcome == config.OutcomeUnknown {
		return exitUnknown
	}
	return 0
}

func outcomeText(outcome config.Outcome) string {
	switch outcome {
	case config.OutcomeWon:
		return "was accepted"
	case config.OutcomeLost:
		return "was not accepted"
	default:
		return "may still be accepted, or its revision is no longer kept"
	}
}
