package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/cardamompier/cardamompier/platform"
)

// platformCheckResult is the JSON output of the check of the platform's form of the configuration.
type platformCheckResult struct {
	Faults  []fault                 `json:"faults"`
	Changes []platform.ConfigChange `json:"changes,omitempty"`
}

// checkPlatformForm checks a file with the platform's form of the configuration and, if a second file is
// given, prints what differs from it.
func (s *session) checkPlatformForm() int {
	value, err := os.ReadFile(s.first)
	if err != nil {
		return s.fail(exitUsage, err)
	}
	result := platformCheckResult{Faults: []fault{}}
	for _, f := range platform.CheckConfig(value) {
		result.Faults = append(result.Faults, fault{File: s.first, Line: f.Line, Field: f.Field, Expected: f.Expected})
	}
	if s.second != "" && len(result.Faults) == 0 {
		inForce, err := os.ReadFile(s.second)
		if err != nil {
			return s.fail(exitUsage, err)
		}
		if result.Changes, err = platform.CompareConfigs(inForce, value); err != nil {
			return s.fail(exitRefused, err)
		}
	}
	s.printPlatformCheck(result)
	if len(result.Faults) > 0 {
		return exitRefused
	}
	return 0
}

func (s *session) printPlatformCheck(result platformCheckResult) {
	if s.json {
		s.print(result)
		return
	}
	for _, f := range result.Faults {
		_, _ = fmt.Fprintf(s.errOut, "%s:%d: %s: expected %s\n", f.File, f.Line, f.Field, f.Expected)
	}
	for _, c := range result.Changes {
		affected := "all requests"
		if len(c.Affects) > 0 {
			affected = strings.Join(c.Affects, ", ")
		}
		s.printf("%s %s, affects %s\n", c.Item, c.Change, affected)
	}
}
