package genlog

import (
	"sync"
	"time"
)

// Store holds the logs of a process's requests until their retention ends.
type Store struct {
	retention time.Duration
	mu        sync.Mutex
	logs      map[string]*Log
}

// NewStore returns a store that keeps an ended log for the given time.
func NewStore(retention time.Duration) *Store {
	return &Store{retention: retention, logs: map[string]*Log{}}
}

// Create adds a log. Where the request id has a log of the same or a higher
// epoch that has not moved, it returns that one and false.
func (s *Store) Create(log *Log) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.logs[log.RequestID]; ok && old.Epoch >= log.Epoch && old.State() != StateMoved {
		return old, false
	}
	s.logs[log.RequestID] = log
	return log, true
}

// Get returns the log of a request.
func (s *Store) Get(requestID string) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log, ok := s.logs[requestID]
	return log, ok
}

// Running returns the logs that grow here.
func (s *Store) Running() []*Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Log
	for _, log := range s.logs {
		if log.State() == StateRunning {
			out = append(out, log)
		}
	}
	return out
}

// Remove drops a log that was not accepted.
func (s *Store) Remove(log *Log) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logs[log.RequestID] == log {
		delete(s.logs, log.RequestID)
	}
}

// Expire drops a log after the retention.
func (s *Store) Expire(log *Log) {
	time.AfterFunc(s.retention, func() { s.Remove(log) })
}
