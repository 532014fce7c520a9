// Package events holds the numbered log events. Each log line of the system
// is one event with a number that stays the same between releases.
//
// docs/EVENTS.md lists every event; a test holds the page to Catalogue.
package events

import (
	"sort"

	"github.com/hashicorp/go-hclog"
)

// Event is a kind of log line.
type Event struct {
	Number  int
	Name    string
	Level   hclog.Level
	Meaning string
}

var catalogue = map[int]Event{}

// define adds an event to the catalogue. A number that is taken is a
// programming error and panics at start.
func define(number int, name string, level hclog.Level, meaning string) Event {
	if _, taken := catalogue[number]; taken {
		panic("events: number defined twice: " + name)
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Log writes one event with its fields as key and value pairs.
func (e Event) Log(logger hclog.Logger, fields ...any) {
	if !logger.IsTrace() && logger.GetLevel() > e.Level {
		return
	}
	logger.Log(e.Level, e.Name, append([]any{"event", e.Number}, fields...)...)
}
