package genlog

import (
	"sync"
	"time"
)

// Store holds the logs of the requests of one process until their retention ends.
type Store struct {
	retention time.Duration
	mu        sync.Mutex
	logs      map[string]*Log
}

// NewStore returns an empty store that retains each ended log for the given time.
func NewStore(retention time.Duration) *Store {
	return &Store{retention: retention, logs: map[string]*Log{}}
}

// Create adds a log and returns it with true. If the store has a log of the same request with the
// same or a higher epoch that has not moved to another owner, Create returns that log and false.
func (s *Store) Create(log *Log) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.logs[log.RequestID]; ok && existing.Epoch >= log.Epoch && existing.State() != StateMoved {
		return existing, false
	}
	s.logs[log.RequestID] = log
	return log, true
}

// Get returns the log of a request, or false if the store has none.
func (s *Store) Get(requestID string) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log, ok := s.logs[requestID]
	return log, ok
}

// Running returns the logs of the requests that this process is running.
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

// Remove deletes a log, unless the store has replaced it by a newer log of the same request.
func (s *Store) Remove(log *Log) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logs[log.RequestID] == log {
		delete(s.logs, log.RequestID)
	}
}

// Expire schedules the removal of an ended log after the retention time.
func (s *Store) Expire(log *Log) {
	time.AfterFunc(s.retention, func() { s.Remove(log) })
}
