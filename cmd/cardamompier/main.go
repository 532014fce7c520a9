// Command cardamompier is the operators' command: it checks and publishes
// service and client account files, and shows what is in force.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

// Exit codes of all commands.
const (
	exitFailed      = 1 // the platform or an entry host could not be reached
	exitUsage       = 2
	exitRefused     = 3 // a file was refused
	exitConflict    = 4 // another publish changed the same item
	exitUnknown     = 5 // it is not known whether the publish was accepted
	exitNotInForce  = 6 // the wait ended before every entry host followed
	defaultWaitTime = 10 * time.Second
)

// options are the flags that the commands share.
type options struct {
	platform string
	dir      string
	json     bool
	wait     time.Duration
}

// command is one operators' command.
type command struct {
	parser *flaggy.Subcommand
	run    func(options) int
}

func main() {
	o := options{wait: defaultWaitTime}
	flaggy.SetName("cardamompier")
	flaggy.SetDescription("Checks and publishes service and client account files, and shows what is in force.")
	flaggy.String(&o.platform, "p", "platform", "URL of the platform's key-value service")
	flaggy.Bool(&o.json, "j", "json", "print JSON")
	commands := []command{checkCommand(&o), publishCommand(&o), statusCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.parser, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.parser.Used {
			os.Exit(c.run(o))
		}
	}
	flaggy.ShowHelp("a command is needed")
	os.Exit(exitUsage)
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "cardamompier:", err)
	return code
}
