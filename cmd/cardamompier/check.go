package main

import (
	"fmt"
	"os"

	"github.com/cardamompier/cardamompier/config"
)

func checkCommand(o *options) command {
	c := newCommand("check", "Check a directory of files without publishing them, or a file with the platform's form of the configuration.",
		"cardamompier check services/", runCheck)
	c.local = true
	c.parser.AddPositionalValue(&o.first, "path", 1, true, "the directory or file")
	c.parser.AddPositionalValue(&o.second, "in_force", 2, false, "a file with the configuration in force, to compare with")
	return c
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Services int     `json:"services"`
	Accounts int     `json:"accounts"`
	Faults   []fault `json:"faults"`
}

// fault is one fault of a file in JSON output: where it is and what was expected there.
type fault struct {
	File     string `json:"file"`
	Line     int    `json:"line,omitempty"`
	Field    string `json:"field,omitempty"`
	Expected string `json:"expected"`
}

func runCheck(s *session) int {
	if info, err := os.Stat(s.first); err == nil && info.Mode().IsRegular() {
		return s.checkPlatformForm()
	}
	files, code := s.readFiles(s.first)
	if code != 0 {
		return code
	}
	if s.json {
		s.print(checkResult{Services: len(files.Services), Accounts: len(files.Accounts), Faults: []fault{}})
		return 0
	}
	s.printf("%d services and %d client accounts are well formed\n", len(files.Services), len(files.Accounts))
	return 0
}

// readFiles reads the files of a directory. If any file is faulty, it prints the faults and
// returns exitRefused, otherwise 0.
func (s *session) readFiles(dir string) (config.Files, int) {
	files, faults := config.ReadDir(dir)
	if len(faults) == 0 {
		return files, 0
	}
	result := checkResult{}
	for _, f := range faults {
		result.Faults = append(result.Faults, fault{File: f.File, Line: f.Line, Field: f.Field, Expected: f.Expected})
		if !s.json {
			_, _ = fmt.Fprintln(s.errOut, f)
		}
	}
	if s.json {
		s.print(result)
	}
	return files, exitRefused
}
