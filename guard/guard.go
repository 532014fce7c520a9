// Package guard keeps the process running when a component panics. The cause of a panic is
// often a record or a message that the next process to read it would panic on too; ending
// the process would then end one host after the other.
package guard

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// restartPause is the time from a panic of a component to its next start.
const restartPause = time.Second

// Panics counts recovered panics, by component.
var Panics = metrics.New("component_panics_total", "Recovered panics, by component.")

// recovered calls run. If run panics, recovered logs and counts the panic and returns true.
func recovered(logger hclog.Logger, component string, run func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			Panics.Inc(component)
			events.ComponentPanicked.Log(logger, "component", component, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	run()
	return false
}

// Run runs a component until it returns. After a panic it starts the component again, until
// ctx ends.
func Run(ctx context.Context, logger hclog.Logger, component string, run func(context.Context)) {
	for recovered(logger, component, func() { run(ctx) }) {
		if !wait.For(ctx, restartPause) {
			return
		}
	}
}
