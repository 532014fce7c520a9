// Command cardamompier is the operators' command: it checks and publishes
// service and client account files, and shows what is in force.
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

// Exit codes of all commands.
const (
	exitFailed     = 1 // the platform or an entry host could not be reached
	exitUsage      = 2
	exitRefused    = 3 // a file was refused, or a revision is not kept
	exitConflict   = 4 // another publish changed the same item
	exitUnknown    = 5 // it is not known whether the publish was accepted
	exitNotInForce = 6 // the wait ended before every entry host followed
)

const (
	defaultWaitTime    = 10 * time.Second
	defaultCallTimeout = 30 * time.Second
)

// options are the flags and arguments of the commands.
type options struct {
	platform string
	json     bool
	timeout  time.Duration
	wait     time.Duration
	base     uint64
	remove   []string
	// arguments by position; a command gives them their meaning.
	first, second string
}

// session is one run of a command.
type session struct {
	options
	store  kv.Store
	out    io.Writer
	errOut io.Writer
}

// command is one operators' command.
type command struct {
	parser *flaggy.Subcommand
	// local commands need no platform.
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
		historyCommand(), rollbackCommand(o), resolveCommand(o),
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

// usageError is an argument that was refused.
type usageError struct{ Argument, Expected string }

// Error implements error.
func (e *usageError) Error() string { return e.Argument + ": expected " + e.Expected }

// failure is a failed command in JSON.
type failure struct {
	Error string `json:"error"`
	Exit  int    `json:"exit"`
	// Reason and what follows are given for a failed publish.
	Reason   config.PublishReason `json:"reason,omitempty"`
	Item     string               `json:"item,omitempty"`
	Base     uint64               `json:"base,omitempty"`
	Current  uint64               `json:"current,omitempty"`
	Revision uint64               `json:"revision,omitempty"`
	Nonce    string               `json:"nonce,omitempty"`
}

// fail reports a failed command and returns its exit code.
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

// failPublish reports a failed publish.
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

// print writes a value as JSON.
func (s *session) print(value any) {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }
