// Package metrics publishes the counters and histograms of the process through expvar. A
// counter has one value for each of its labels.
//
// The page docs/METRICS.md lists every counter; a test compares it with Catalogue.
package metrics

import "expvar"

// Counter is a published counter with one value for each label. Create it with New.
type Counter struct {
	Name string
	Help string
	vars *expvar.Map
}

var catalogue []*Counter

// New creates and publishes a counter. Call it only to initialize a package variable: expvar
// panics if a name is published twice.
func New(name, help string) *Counter {
	c := &Counter{Name: name, Help: help, vars: expvar.NewMap("cardamompier_" + name)}
	catalogue = append(catalogue, c)
	return c
}

// Add adds n to the value of a label.
func (c *Counter) Add(label string, n int64) { c.vars.Add(label, n) }

// Inc adds one to the value of a label.
func (c *Counter) Inc(label string) { c.vars.Add(label, 1) }

// Value returns the value of a label; zero if nothing was added to it.
func (c *Counter) Value(label string) int64 {
	if v, ok := c.vars.Get(label).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Catalogue returns the counters of all packages that are linked into the program.
func Catalogue() []*Counter { return catalogue }
