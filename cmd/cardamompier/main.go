// Command cardamompier is the command line for operators: it checks and publishes service and
// client account files, and shows which configuration is in force.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
)

// The exit codes are the same for all commands; 0 is success.
const (
	exitFailed     = 1 // the platform or an entry host could not be reached
	exitUsage      = 2 // an argument is missing or not valid
	exitRefused    = 3 // a file is faulty, the configuration is too large, or a revision is no longer stored
	exitConflict   = 4 // another publish has changed the same item
	exitUnknown    = 5 // unknown whether the publish was accepted
	exitNotInForce = 6 // the wait ended before the revision was in force on every entry host
)

const (
	defaultWaitTime    = 10 * time.Second
	defaultCallTimeout = 30 * time.Second
)

// options are the flags and arguments of all commands.
type options struct {
	platform string
	json     bool
	timeout  time.Duration
	wait     time.Duration
	base     uint64
	remove   []string
	// first and second are the positional arguments; their meaning depends on the command.
	first, second string
}

// session is one run of a command, with its options, store and output.
type session struct {
	options
	store  kv.Store
	out    io.Writer
	errOut io.Writer
}

// command is one subcommand of the command line.
type command struct {
	parser *flaggy.Subcommand
	// local is true for a command that needs no access to the platform.
	local bool
	run   func(*session) int
}

func newCommand(name, description, example string, run func(*session) int) command {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	parser.AdditionalHelpAppend = "  Example:\n    " + example
	return command{parser: parser, run: run}
}

func main() {
	o := options{wait: defaultWaitTime, timeout: defaultCallTimeout}
	flaggy.SetName("cardamompier")
	flaggy.SetDescription("Checks and publishes service and client account files, and shows what is in force.")
	flaggy.String(&o.platform, "p", "platform", "URL of the platform's key-value service")
	flaggy.Bool(&o.json, "j", "json", "print JSON")
	flaggy.Duration(&o.timeout, "t", "timeout", "longest time for the calls on the platform")
	commands := commandsOf(&o)
	for _, c := range commands {
		flaggy.AttachSubcommand(c.parser, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.parser.Used {
			os.Exit(execute(c, o))
		}
	}
	flaggy.ShowHelp("a command is needed")
	os.Exit(exitUsage)
}

func commandsOf(o *options) []command {
	return []command{
		checkCommand(o), publishCommand(o), statusCommand(), diffCommand(o),
		historyCommand(), rollbackCommand(o), resolveCommand(o), rolloutsCommand(o),
	}
}

func execute(c command, o options) int {
	s := &session{options: o, out: os.Stdout, errOut: os.Stderr}
	if o.platform == "" && !c.local {
		return s.fail(exitUsage, &usageError{Argument: "--platform", Expected: "the URL of the platform's key-value service"})
	}
	client := kvhttp.NewClient(o.platform)
	defer client.Close()
	s.store = client
	return c.run(s)
}

// usageError reports an argument that is missing or not valid, and what was expected.
type usageError struct{ Argument, Expected string }

// Error returns the argument and what was expected, to implement error.
func (e *usageError) Error() string { return e.Argument + ": expected " + e.Expected }

// failure is the JSON output of a failed command.
type failure struct {
	Error string `json:"error"`
	Exit  int    `json:"exit"`
	// Reason and the fields below it are set only for a failed publish.
	Reason   config.PublishReason `json:"reason,omitempty"`
	Item     string               `json:"item,omitempty"`
	Base     uint64               `json:"base,omitempty"`
	Current  uint64               `json:"current,omitempty"`
	Revision uint64               `json:"revision,omitempty"`
	Nonce    string               `json:"nonce,omitempty"`
}

// fail prints the error of a failed command, as JSON if requested, and returns code.
func (s *session) fail(code int, err error) int {
	if !s.json {
		_, _ = fmt.Fprintln(s.errOut, "cardamompier:", err)
		return code
	}
	f := failure{Error: err.Error(), Exit: code}
	var failed *config.PublishError
	if errors.As(err, &failed) {
		f.Reason, f.Base, f.Current = failed.Reason, failed.Base, failed.Current
		f.Revision, f.Nonce = failed.Revision, failed.Nonce
		if failed.Item.Name != "" {
			f.Item = failed.Item.String()
		}
	}
	s.print(f)
	return code
}

// failPublish prints the error of a failed publish and returns its exit code. If the outcome
// is unknown, it also prints the command that looks the outcome up.
func (s *session) failPublish(err error) int {
	code := s.fail(exitCodeOf(err), err)
	if code == exitUnknown && !s.json {
		var failed *config.PublishError
		errors.As(err, &failed)
		_, _ = fmt.Fprintf(s.errOut, "ask again with: cardamompier resolve --platform %s %d %s\n", s.platform, failed.Revision, failed.Nonce)
	}
	return code
}

func exitCodeOf(err error) int {
	var failed *config.PublishError
	if !errors.As(err, &failed) {
		return exitFailed
	}
	switch failed.Reason {
	case config.PublishConflict:
		return exitConflict
	case config.PublishUnknown:
		return exitUnknown
	case config.PublishNoRevision, config.PublishTooLarge:
		return exitRefused
	default:
		return exitFailed
	}
}

// print writes a value to the output as indented JSON.
func (s *session) print(value any) {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }
