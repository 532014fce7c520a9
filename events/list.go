package events

import "github.com/hashicorp/go-hclog"

// The events of starting, stopping and reloading the process have the numbers 1000 to 1099.
var (
	ProcessStarted    = define(1000, "process started", hclog.Info, "The process has started and listens on its addresses.")
	ProcessDraining   = define(1001, "process draining", hclog.Info, "A stop was requested; the process announces that it leaves and finishes its work in progress.")
	ProcessStopped    = define(1002, "process stopped", hclog.Info, "All work in progress has ended.")
	SettingsReloaded  = define(1004, "settings reloaded", hclog.Info, "The settings file was read again; the settings that can change at run time are in force.")
	SettingsRefused   = define(1005, "settings refused", hclog.Error, "The changed settings file is faulty; the previous settings remain in force.")
	ListenerFailed    = define(1003, "listener failed", hclog.Error, "The server of a listen address stopped with an error.")
	ComponentPanicked = define(1006, "component panicked", hclog.Error, "A component panicked, a fault of this program; it is started again while the process goes on.")
)

// The events of a request have the numbers 1100 to 1199.
var (
	RequestAccepted = define(1100, "request accepted", hclog.Debug, "A request passed all checks.")
	RequestRefused  = define(1101, "request refused", hclog.Info, "A request was refused; type is the reason, and ran is whether the request ran.")
	RequestFinished = define(1102, "request finished", hclog.Debug, "The answer to a request is complete.")
	AttemptFailed   = define(1103, "attempt failed", hclog.Warn, "One attempt at an upstream failed.")
)

// The events of the membership of entry hosts and of the host list have the numbers 1300 to
// 1399.
var (
	HostListFailed = define(1300, "host list read failed", hclog.Warn, "The platform's host list could not be read; the last list remains in use.")
	MemberJoined   = define(1301, "member joined", hclog.Info, "An entry host joined.")
	MemberLeft     = define(1302, "member left", hclog.Info, "An entry host left or was found dead.")
	RegisterFailed = define(1303, "registration failed", hclog.Warn, "This entry host could not be registered with the platform.")
)
