package events

import "github.com/hashicorp/go-hclog"

// Events of a process's life: 1000 to 1099.
var (
	ProcessStarted   = define(1000, "process started", hclog.Info, "The daemon listens on the addresses given.")
	ProcessDraining  = define(1001, "process draining", hclog.Info, "A stop was asked for; no new work is taken.")
	ProcessStopped   = define(1002, "process stopped", hclog.Info, "All work in progress has ended.")
	SettingsReloaded = define(1004, "settings reloaded", hclog.Info, "The settings file was read again; what can change while running is in force.")
	SettingsRefused  = define(1005, "settings refused", hclog.Error, "The changed settings file is faulty; the settings before stay.")
	ListenerFailed   = define(1003, "listener failed", hclog.Error, "An address could not be served.")
)

// Events of a request: 1100 to 1199.
var (
	RequestAccepted = define(1100, "request accepted", hclog.Debug, "A request passed all checks.")
	RequestRefused  = define(1101, "request refused", hclog.Info, "A request was refused; type and ran say why and whether it ran.")
	RequestFinished = define(1102, "request finished", hclog.Debug, "A request's answer is complete.")
	AttemptFailed   = define(1103, "attempt failed", hclog.Warn, "One attempt at an upstream failed.")
)

// Events of membership and the host list: 1300 to 1399.
var (
	HostListFailed = define(1300, "host list read failed", hclog.Warn, "The platform's host list could not be read; the last one stays.")
	MemberJoined   = define(1301, "member joined", hclog.Info, "An entry host joined.")
	MemberLeft     = define(1302, "member left", hclog.Info, "An entry host left or was found dead.")
	RegisterFailed = define(1303, "registration failed", hclog.Warn, "This entry host could not be registered with the platform.")
)
