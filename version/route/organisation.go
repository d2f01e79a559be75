package route

import "crypto/sha256"

// Organisation is a customer whose callers share API keys.
type Organisation struct {
	Name string
	// Priority replaces the priority of the route; nil: the route's holds.
	Priority *int
}

// digest stands for an API key, so that no key lies in the memory of a daemon
// for longer than a request.
type digest [sha256.Size]byte

// Keys knows the organisation of each API key of one version. It is read-only
// once a Config holds it.
type Keys struct {
	byDigest map[digest]*Organisation
}

// NewKeys returns Keys without any key.
func NewKeys() *Keys { return &Keys{byDigest: make(map[digest]*Organisation)} }

// Add adds a key of an organisation.
func (k *Keys) Add(key string, o *Organisation) { k.byDigest[sha256.Sum256([]byte(key))] = o }

// Len is the number of keys.
func (k *Keys) Len() int { return len(k.byDigest) }

// RequiresKeys reports whether callers of routes that aren't public need a key.
func (c *Config) RequiresKeys() bool { return c.keys != nil }

// KeyCount is the number of API keys.
func (c *Config) KeyCount() int {
	if c.keys == nil {
		return 0
	}
	return c.keys.Len()
}

// Organisation returns the organisation that holds the key, nil if none does.
func (c *Config) Organisation(key string) *Organisation {
	if c.keys == nil || key == "" {
		return nil
	}
	return c.keys.byDigest[sha256.Sum256([]byte(key))]
}
