package summary

// HasFleetSum reports whether Sum returns the received sum of the whole fleet.
func (t *Table[E]) HasFleetSum() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.fresh(t.o.Now(), func(E) {})
}
