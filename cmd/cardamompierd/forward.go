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

// settingsPathVariable is the environment variable with the path of the settings file; it
// applies when the --settings flag is missing.
const settingsPathVariable = "CARDAMOMPIER_SETTINGS"

// logFlushTimeout bounds how long the exiting process waits until its last log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// settingsPollInterval is the interval at which the settings file is checked for changes. The file
// may change without a signal, and a change must apply within 2 s.
const settingsPollInterval = time.Second

// runForward runs an entry host that forwards requests by a route table, until SIGTERM or
// SIGINT. A value on reload, which receives SIGHUP, makes it read the settings again.
func runForward(path string, reload <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if path == "" {
		path = os.Getenv(settingsPathVariable)
	}
	file := settingsFile{path: path}
	file.changed() // records the file's state, so that only later changes count
	s, err := settings.ReadForwarding(path)
	if err != nil {
		return err
	}
	sink := logsink.New(os.Stdout)
	defer func() {
		sink.Close()
		select {
		case <-sink.Flushed():
		case <-time.After(logFlushTimeout):
		}
	}()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: s.HostID, Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: sink,
	})
	server, err := cardamompier.NewForwardServer(s, logger)
	if err != nil {
		return err
	}
	go file.follow(ctx, reload, logger)
	return server.Run(ctx)
}

// settingsFile detects changes of a settings file by its modification time and size.
type settingsFile struct {
	path     string
	modified time.Time
	size     int64
}

// follow reloads the settings at each signal on reload and after each change of the file,
// until ctx ends.
func (f *settingsFile) follow(ctx context.Context, reload <-chan os.Signal, logger hclog.Logger) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-reload:
			f.changed()
			reloadSettings(f.path, logger)
		case <-poll.C:
			if f.changed() {
				reloadSettings(f.path, logger)
			}
		case <-ctx.Done():
			return
		}
	}
}

// changed reports whether the file has another modification time or size than at the last
// call. It returns false for a file that cannot be read, for example while it is replaced.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modified) && info.Size() == f.size {
		return false
	}
	f.modified, f.size = info.ModTime(), info.Size()
	return true
}

// reloadSettings reads the settings again and applies only the log level. Changes of other
// settings take effect at the next start.
func reloadSettings(path string, logger hclog.Logger) {
	s, err := settings.ReadForwarding(path)
	if err != nil {
		events.SettingsRefused.Log(logger, "file", path, "error", err)
		return
	}
	logger.SetLevel(hclog.LevelFromString(s.LogLevel))
	events.SettingsReloaded.Log(logger, "file", path, "log_level", s.LogLevel)
}
