package config

import (
	"encoding/hex"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cardamompier/cardamompier/strictjson"
)

// ServiceFileSuffix and AccountFileSuffix are the name suffixes of the files
// that a publish reads.
const (
	ServiceFileSuffix = ".service.json"
	AccountFileSuffix = ".account.json"
)

// FileError reports an invalid file and what was expected in it.
type FileError struct {
	File string
	// Line is the 1-based line of the error; zero when the error has no line.
	Line     int
	Field    string
	Expected string
	Cause    error
}

// Error implements error.
func (e *FileError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		b.WriteString(":" + itoa(uint64(e.Line)))
	}
	if e.Field != "" {
		b.WriteString(": field " + e.Field)
	}
	b.WriteString(": expected " + e.Expected)
	if e.Cause != nil {
		b.WriteString(": " + e.Cause.Error())
	}
	return b.String()
}

// Unwrap returns the underlying error, or nil.
func (e *FileError) Unwrap() error { return e.Cause }

// Files is the validated content of a directory of service and client account files.
type Files struct {
	Services map[string]Service
	Accounts map[string]Account
}

// ReadDir reads and validates every service and client account file below dir.
// It returns the first error of each invalid file; without errors, the returned
// Files are complete.
func ReadDir(dir string) (Files, []*FileError) {
	files := Files{Services: map[string]Service{}, Accounts: map[string]Account{}}
	var faults []*FileError
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		if fault := files.add(path); fault != nil {
			faults = append(faults, fault)
		}
		return nil
	})
	if err != nil {
		faults = append(faults, &FileError{File: dir, Expected: "a readable directory", Cause: err})
	}
	if len(faults) == 0 && len(files.Services)+len(files.Accounts) == 0 {
		faults = append(faults, &FileError{File: dir, Expected: "at least one *" + ServiceFileSuffix + " or *" + AccountFileSuffix})
	}
	return files, faults
}

func (f *Files) add(path string) *FileError {
	isService := strings.HasSuffix(path, ServiceFileSuffix)
	if !isService && !strings.HasSuffix(path, AccountFileSuffix) {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{File: path, Expected: "a readable file", Cause: err}
	}
	if isService {
		return f.addService(path, data)
	}
	return f.addAccount(path, data)
}

func (f *Files) addService(path string, data []byte) *FileError {
	service, fault := ParseService(path, data)
	if fault != nil {
		return fault
	}
	if _, twice := f.Services[service.Name]; twice {
		return faultAt(path, data, "service", "a name that no other file uses")
	}
	f.Services[service.Name] = service
	return nil
}

func (f *Files) addAccount(path string, data []byte) *FileError {
	account, fault := ParseAccount(path, data)
	if fault != nil {
		return fault
	}
	if _, twice := f.Accounts[account.Name]; twice {
		return faultAt(path, data, "account", "a name that no other file uses")
	}
	f.Accounts[account.Name] = account
	return nil
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const expectedDigest = `"sha256:" and 64 hex digits, never a key itself`

const expectedName = "a lower-case letter, then up to 62 letters, digits or hyphens"

// ParseService decodes and validates a service file and sets missing fields to
// their defaults.
func ParseService(path string, data []byte) (Service, *FileError) {
	var s Service
	if fault := decode(path, data, &s); fault != nil {
		return s, fault
	}
	if s.Kind == KindModel {
		s.Idempotent = true
		s.MaxTokens = orDefault(s.MaxTokens, DefaultMaxTokens)
	}
	s.Deadline = orDefault(s.Deadline, DefaultDeadline)
	switch {
	case !namePattern.MatchString(s.Name):
		return s, faultAt(path, data, "service", expectedName)
	case s.Kind != KindModel && s.Kind != KindPlain:
		return s, faultAt(path, data, "kind", `"model" or "plain"`)
	case !namePattern.MatchString(s.Pool):
		return s, faultAt(path, data, "pool", expectedName)
	case s.Kind == KindModel && s.Model == "":
		return s, faultAt(path, data, "model", "the model's name")
	case s.Kind == KindPlain && s.Model+s.Adapter != "":
		return s, faultAt(path, data, "model", "no model or adapter for a plain service")
	case s.Deadline < 0:
		return s, faultAt(path, data, "deadline", "a positive time span")
	case s.MaxTokens < 0:
		return s, faultAt(path, data, "max_tokens", "a positive number")
	case s.Kind == KindPlain && s.MaxTokens != 0:
		return s, faultAt(path, data, "max_tokens", "no max_tokens for a plain service")
	}
	if field, expected := s.checkCapacity(); field != "" {
		return s, faultAt(path, data, field, expected)
	}
	return s, nil
}

const expectedCapacity = "machine classes, each with a positive number of tokens a second"

// checkCapacity validates the fields Capacity and MinTokensPerSecond. It returns
// the JSON name of the first invalid field and the expected value, or two empty
// strings.
func (s *Service) checkCapacity() (field, expected string) {
	for class, capacity := range s.Capacity {
		if !namePattern.MatchString(class) || capacity <= 0 {
			return "capacity", expectedCapacity
		}
	}
	switch {
	case s.Capacity != nil && len(s.Capacity) == 0:
		return "capacity", expectedCapacity
	case s.Kind == KindPlain && s.Capacity != nil:
		return "capacity", "no capacity for a plain service"
	case s.MinTokensPerSecond < 0:
		return "min_tokens_per_second", "zero or more"
	case s.MinTokensPerSecond > 0 && len(s.Capacity) == 0:
		return "min_tokens_per_second", "a capacity beside it"
	}
	return "", ""
}

// ParseAccount decodes and validates a client account file and sets missing
// fields to their defaults.
func ParseAccount(path string, data []byte) (Account, *FileError) {
	var a Account
	if fault := decode(path, data, &a); fault != nil {
		return a, fault
	}
	a.Weight = orDefault(a.Weight, DefaultWeight)
	switch {
	case !namePattern.MatchString(a.Name):
		return a, faultAt(path, data, "account", expectedName)
	case len(a.KeyDigests) == 0:
		return a, faultAt(path, data, "key_digests", "at least one digest")
	case a.RequestsPerSecond < 0:
		return a, faultAt(path, data, "requests_per_second", "zero or more")
	case a.TokensPerSecond < 0:
		return a, faultAt(path, data, "tokens_per_second", "zero or more")
	case a.Weight < 0:
		return a, faultAt(path, data, "weight", "a positive number")
	}
	for _, digest := range a.KeyDigests {
		if !validDigest(digest) {
			return a, faultAt(path, data, "key_digests", expectedDigest)
		}
	}
	return a, nil
}

func validDigest(text string) bool {
	raw, err := hex.DecodeString(strings.TrimPrefix(text, digestPrefix))
	return err == nil && strings.HasPrefix(text, digestPrefix) && len(raw) == 32
}

// decode decodes the JSON data of the file at path and rejects unknown fields.
func decode(path string, data []byte, into any) *FileError {
	fault := strictjson.Decode(data, into)
	if fault == nil {
		return nil
	}
	return &FileError{File: path, Line: fault.Line, Field: fault.Field, Expected: fault.Expected, Cause: fault.Cause}
}

func faultAt(path string, data []byte, field, expected string) *FileError {
	return &FileError{File: path, Line: strictjson.LineOf(data, field), Field: field, Expected: expected}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
