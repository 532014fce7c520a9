// Command cardamompierd runs one entry host, configured by a settings file, until SIGTERM or
// SIGINT; it then finishes the requests in progress and exits.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier"
	"github.com/cardamompier/cardamompier/settings"
)

// The exit codes of the daemon: exitSettings for faulty settings, exitFailed for any other
// error. The forward subcommand exits with exitFailed in both cases.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	// The handler for SIGHUP, which requests a reload of the settings, is installed first:
	// without a handler, a SIGHUP during the start would terminate the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path, printSettings, drain := "", false, time.Minute
	flaggy.SetName("cardamompierd")
	flaggy.SetDescription("One entry host of cardamompier. Example: cardamompierd --settings entry.json")
	flaggy.String(&path, "s", "settings", "the settings file, in JSON")
	flaggy.Bool(&printSettings, "p", "print-settings", "print the settings with their defaults and exit")
	flaggy.Duration(&drain, "d", "drain-timeout", "longest wait for requests in progress at a stop")
	forward := flaggy.NewSubcommand("forward")
	forward.Description = "An entry host that forwards requests by the platform's route table. Example: cardamompierd forward --settings forward.json"
	forward.String(&path, "s", "settings", "the settings file, in JSON; default: the variable "+settingsPathVariable)
	flaggy.AttachSubcommand(forward, 1)
	flaggy.Parse()
	if forward.Used {
		if err := runForward(path, reload); err != nil {
			fail(exitFailed, err)
		}
		return
	}
	s, err := settings.Read(path)
	if err != nil {
		fail(exitSettings, err)
	}
	if printSettings {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(s)
		return
	}
	if err := run(s, drain); err != nil {
		fail(exitFailed, err)
	}
}

func run(s settings.Settings, drain time.Duration) error {
	logger := hclog.New(&hclog.LoggerOptions{Name: s.HostID, Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true})
	server, err := cardamompier.New(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return server.Run(ctx, drain)
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "cardamompierd:", err)
	os.Exit(code)
}
