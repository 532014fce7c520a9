package kv

import "context"

// Lookup reads a key by a list, which returns the version of the service also if the key is missing. The entry then has
// version 0.
func Lookup(ctx context.Context, store Store, key string) (Entry, Version, error) {
	entries, asOf, err := store.List(ctx, key)
	if err != nil {
		return Entry{}, 0, err
	}
	for _, entry := range entries {
		if entry.Key == key {
			return entry, asOf, nil
		}
	}
	return Entry{Key: key}, asOf, nil
}
