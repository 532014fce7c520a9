// Command experiment measures the coordination parts and decisions: each
// subcommand prints a table, and the same seed gives the same workload.
package main

import (
	"os"

	"github.com/integrii/flaggy"
)

const exitUsage = 2

// experiment is one measurement.
type experiment struct {
	parser *flaggy.Subcommand
	run    func() int
}

func main() {
	flaggy.SetName("experiment")
	flaggy.SetDescription("Measures cardamompier's parts. Example: experiment orders --help")
	experiments := []experiment{
		configExperiment(),
		costExperiment(),
		limitsExperiment(),
		outageExperiment(),
		overloadExperiment(),
		ordersExperiment(),
		pathExperiment(),
		policyExperiment(),
		streamsExperiment(),
	}
	for _, e := range experiments {
		flaggy.AttachSubcommand(e.parser, 1)
	}
	flaggy.Parse()
	for _, e := range experiments {
		if e.parser.Used {
			os.Exit(e.run())
		}
	}
	flaggy.ShowHelp("an experiment is needed")
	os.Exit(exitUsage)
}
