package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/logsink"
	"github.com/cardamompier/cardamompier/settings"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "CARDAMOMPIER_SETTINGS"

// logFlush bounds the wait for the last log lines at the end.
const logFlush = 200 * time.Millisecond

// runForward runs an entry host that forwards requests by a route table.
func runForward(path string) error {
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	s, err := settings.ReadForwarding(path)
	if err != nil {
		return err
	}
	sink := logsink.New(os.Stdout)
	defer func() {
		sink.Close()
		select {
		case <-sink.Flushed():
		case <-time.After(logFlush):
		}
	}()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: s.HostID, Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: sink,
	})
	server, err := cardamompier.NewForwardServer(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			reloadSettings(path, logger)
		}
	}()
	return server.Run(ctx)
}

// reloadSettings reads the settings again and applies the log level; the other
// settings hold until the next start.
func reloadSettings(path string, logger hclog.Logger) {
	s, err := settings.ReadForwarding(path)
	if err != nil {
		events.SettingsRefused.Log(logger, "file", path, "error", err)
		return
	}
	logger.SetLevel(hclog.LevelFromString(s.LogLevel))
	events.SettingsReloaded.Log(logger, "file", path, "log_level", s.LogLevel)
}
