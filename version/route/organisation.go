package route

import "crypto/sha256"

// Organisation is a customer whose callers share API keys.
type Organisation struct {
	Name string
	// Priority overrides the priority of the route, unless it is nil.
	Priority *int
}

// digest is the hash of an API key. Daemons store only digests, so that no key
// stays in their memory for longer than a request.
type digest [sha256.Size]byte

// Keys maps the API keys of one version to their organisations. It must not be
// modified after it was passed to New.
type Keys struct {
	byDigest map[digest]*Organisation
}

// NewKeys returns an empty Keys.
func NewKeys() *Keys { return &Keys{byDigest: make(map[digest]*Organisation)} }

// Add adds a key of an organisation.
func (k *Keys) Add(key string, o *Organisation) { k.byDigest[sha256.Sum256([]byte(key))] = o }

// Len returns the number of keys.
func (k *Keys) Len() int { return len(k.byDigest) }

// RequiresKeys reports whether callers of routes that aren't public need a key.
func (c *Config) RequiresKeys() bool { return c.keys != nil }

// KeyCount returns the number of API keys.
func (c *Config) KeyCount() int {
	if c.keys == nil {
		return 0
	}
	return c.keys.Len()
}

// Organisation returns the organisation of the key, or nil if the key is
// unknown.
func (c *Config) Organisation(key string) *Organisation {
	if c.keys == nil || key == "" {
		return nil
	}
	return c.keys.byDigest[sha256.Sum256([]byte(key))]
}
