// Package logsink writes log lines without ever making their writer wait: a
// line that finds the buffer full is dropped and counted.
package logsink

import (
	"io"

	"github.com/cardamompier/cardamompier/metrics"
)

// bufferedLines is how many lines may wait; at 300 bytes a line about 600 KB.
const bufferedLines = 2048

// Lines counts log lines by what became of them.
var Lines = metrics.New("log_lines_total", "Log lines, by whether they were written or dropped.")

const (
	labelWritten = "written"
	labelDropped = "dropped"
	labelFailed  = "write_failed"
)

// Sink is an io.Writer that never blocks. Use New.
type Sink struct {
	lines chan []byte
	done  chan struct{}
}

// New returns a sink that writes to w until Close.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write takes one line; it copies p and always succeeds.
func (s *Sink) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case s.lines <- line:
	default:
		Lines.Inc(labelDropped)
	}
	return len(p), nil
}

// Flushed is closed when every line taken before Close was written.
func (s *Sink) Flushed() <-chan struct{} { return s.done }

// Close ends the sink after the lines that it has taken. Write must not be
// called afterwards.
func (s *Sink) Close() { close(s.lines) }

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		if _, err := w.Write(line); err != nil {
			Lines.Inc(labelFailed)
			continue
		}
		Lines.Inc(labelWritten)
	}
}
