// Package events defines the numbered log events. Each log line of the system is one event,
// whose number stays the same between releases.
//
// The page docs/EVENTS.md lists every event; a test compares it with Catalogue.
package events

import (
	"sort"

	"github.com/hashicorp/go-hclog"
)

// Event is a kind of log line: its number, name and level, and its meaning for operators.
type Event struct {
	Number  int
	Name    string
	Level   hclog.Level
	Meaning string
}

var catalogue = map[int]Event{}

// define adds an event to the catalogue and returns it. It panics at program start if the
// number is already in use, which is a programming error.
func define(number int, name string, level hclog.Level, meaning string) Event {
	if _, defined := catalogue[number]; defined {
		panic("events: number defined twice: " + name)
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Log writes the event to logger at the event's level. The fields are alternating keys and
// values.
func (e Event) Log(logger hclog.Logger, fields ...any) {
	if !logger.IsTrace() && logger.GetLevel() > e.Level {
		return
	}
	logger.Log(e.Level, e.Name, append([]any{"event", e.Number}, fields...)...)
}
