// Package metrics holds the process's counters, published through expvar.
// A counter with a label has one entry for each reason.
//
// docs/METRICS.md lists every counter; a test holds the page to Catalogue.
package metrics

import "expvar"

// Counter names one published counter.
type Counter struct {
	Name string
	Help string
	vars *expvar.Map
}

var catalogue []*Counter

// New publishes a counter. It is called from package variables only: expvar
// panics on a name that is published twice.
func New(name, help string) *Counter {
	c := &Counter{Name: name, Help: help, vars: expvar.NewMap("cardamompier_" + name)}
	catalogue = append(catalogue, c)
	return c
}

// Add adds n under a label.
func (c *Counter) Add(label string, n int64) { c.vars.Add(label, n) }

// Inc adds one under a label.
func (c *Counter) Inc(label string) { c.vars.Add(label, 1) }

// Value returns the count under a label.
func (c *Counter) Value(label string) int64 {
	if v, ok := c.vars.Get(label).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Catalogue returns the counters of the packages that the program links.
func Catalogue() []*Counter { return catalogue }
