// Package logsink writes log lines in the background, so that logging never blocks. A line
// that arrives while the buffer is full is dropped and counted.
package logsink

import (
	"io"

	"github.com/cardamompier/cardamompier/metrics"
)

// bufferedLines is the capacity of the buffer in lines: about 600 KB at 300 bytes a line.
const bufferedLines = 2048

// Lines counts log lines by whether they were written, were dropped or failed to be written.
var Lines = metrics.New("log_lines_total", "Log lines, by whether they were written or dropped.")

const (
	labelWritten = "written"
	labelDropped = "dropped"
	labelFailed  = "write_failed"
)

// Sink is an io.Writer that buffers log lines and never blocks. Create it with New.
type Sink struct {
	lines chan []byte
	done  chan struct{}
}

// New returns a sink and starts its goroutine, which writes the lines to w until Close.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write adds a copy of p, which is one line, to the buffer, or drops the line if the buffer
// is full. It always returns len(p) and no error.
func (s *Sink) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case s.lines <- line:
	default:
		Lines.Inc(labelDropped)
	}
	return len(p), nil
}

// Flushed returns a channel that is closed after Close when no buffered line is left to
// write.
func (s *Sink) Flushed() <-chan struct{} { return s.done }

// Close stops the sink once all buffered lines are written, without waiting for them. Write
// must not be called afterwards.
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
