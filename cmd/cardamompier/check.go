package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/config"
)

func checkCommand(o *options) command {
	parser := flaggy.NewSubcommand("check")
	parser.Description = "Check a directory of files. Example: cardamompier check services/"
	parser.AddPositionalValue(&o.dir, "dir", 1, true, "the directory")
	return command{parser: parser, run: runCheck}
}

func runCheck(o options) int {
	files, code := readFiles(o.dir)
	if code == 0 {
		fmt.Printf("%d services and %d client accounts are well formed\n", len(files.Services), len(files.Accounts))
	}
	return code
}

// readFiles reads a directory and prints the faults of its files.
func readFiles(dir string) (config.Files, int) {
	files, faults := config.ReadDir(dir)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	if len(faults) > 0 {
		return files, exitRefused
	}
	return files, 0
}
