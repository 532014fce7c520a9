// Command experiment measures Cardamompier's coordination components and decision policies.
// Each subcommand prints a table; the same seed produces the same workload.
package main

import (
	"os"

	"github.com/integrii/flaggy"
)

const exitUsage = 2

// experiment is one subcommand of the program. Its run function returns the exit code.
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
		membershipExperiment(),
		outageExperiment(),
		overloadExperiment(),
		ordersExperiment(),
		pathExperiment(),
		policyExperiment(),
		promptsExperiment(),
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
