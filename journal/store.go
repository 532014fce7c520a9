package journal

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

// Create adds a log. Where the request id is known it returns the log that is
// there and false.
func (s *Store) Create(log *Log) (*Log, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.logs[log.RequestID]; ok {
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

// Expire drops the log of a request after the retention.
func (s *Store) Expire(requestID string) {
	time.AfterFunc(s.retention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.logs, requestID)
	})
}
