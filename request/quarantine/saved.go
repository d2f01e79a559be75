package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// maxSavedTime bounds how long what a lost daemon has saved is kept. Convictions without
// an end would fill the store.
const maxSavedTime = 24 * time.Hour

// markUnsaved records that the state of a content that this process saves has changed.
// Other processes save the crashes that they saw.
func (t *CrashTracker) markUnsaved(c *content) {
	t.unsaved = t.unsaved || c.isSavedHere()
}

// isSavedHere reports whether this process saves the content: it saw a crash of a target
// that ran it, or has adopted it.
func (c *content) isSavedHere() bool {
	return c.adopted || slices.ContainsFunc(c.crashes, func(cr crash) bool { return cr.local })
}

// Unsaved returns the encoded updates about the contents that this process saves, the
// most urgent ones if they don't fit. It implements saved.State.
func (t *CrashTracker) Unsaved(retry bool, maxBytes int) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unsaved && !retry {
		return nil, nil
	}
	now := t.tick()
	var saved []*content
	for _, c := range t.contents {
		if c.isSavedHere() && (c.crashCount() > 0 || now.Before(c.convictedUntil)) {
			saved = append(saved, c)
		}
	}
	slices.SortFunc(saved, func(a, b *content) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(b.crashCount(), a.crashCount()), b.lastCrash().Compare(a.lastCrash()))
	})
	m, size := &peerpb.Convictions{}, 0
	for _, c := range saved {
		updates := c.savedUpdates(now)
		size += proto.Size(&peerpb.Convictions{Convictions: updates})
		if size > maxBytes {
			break
		}
		m.Convictions = append(m.Convictions, updates...)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("quarantine: encode: %w", err)
	}
	t.unsaved = false
	if data == nil {
		data = []byte{} // to be saved: earlier contents were cleared
	}
	return data, nil
}

// savedUpdates returns the updates about a content's crashes, and then its conviction.
func (c *content) savedUpdates(now time.Time) []*peerpb.Conviction {
	out := c.crashUpdates(now)
	if now.Before(c.convictedUntil) {
		out = append(out, c.convictionUpdate(now))
	}
	return out
}

// decodeSaved returns the updates that still hold after the given time, with the time
// that is left.
func decodeSaved(data []byte, age time.Duration) (out []*peerpb.Conviction, err error) {
	var m peerpb.Convictions
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("quarantine: decode saved updates: %w", err)
	}
	if age > maxSavedTime {
		return nil, nil
	}
	for _, u := range m.Convictions {
		if u.TtlMs -= age.Milliseconds(); u.TtlMs > 0 {
			out = append(out, u)
		}
	}
	return out, nil
}

// Expired implements saved.State.
func (t *CrashTracker) Expired(data []byte, age time.Duration) bool {
	updates, err := decodeSaved(data, age)
	return err == nil && len(updates) == 0
}

// Restore implements saved.State. If all processes were lost it restores the saved
// crashes and convictions. Otherwise this process knows better, since content may have
// been answered after its crashes were saved, and only adopts the contents.
func (t *CrashTracker) Restore(data []byte, age time.Duration, lost bool) (adopted bool, err error) {
	updates, err := decodeSaved(data, age)
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	if lost {
		t.restore(updates, now)
	}
	for _, u := range updates {
		if c := t.contents[parseFingerprint(u.Fingerprint)]; c != nil && !c.adopted {
			c.adopted, t.unsaved = true, true
		}
	}
	return true, nil
}

// restore applies saved updates: crashes first, so that a conviction adds none.
func (t *CrashTracker) restore(updates []*peerpb.Conviction, now time.Time) {
	convicted := 0
	for _, u := range updates {
		fp := parseFingerprint(u.Fingerprint)
		if fp == (Fingerprint{}) {
			continue
		}
		c := t.getOrCreate(fp, now)
		c.part = max(c.part, int(min(u.Part, maxPart)))
		c.answered = c.answered || u.Answered
		ttl := time.Duration(u.TtlMs) * time.Millisecond
		if u.Suspect {
			at := now.Add(min(ttl, suspectTTL) - suspectTTL)
			run := max(0, time.Duration(u.RunMs)*time.Millisecond)
			t.recordCrashTime(u.Target, at)
			t.addCrash(c, crash{target: u.Target, began: at.Add(-run), at: at, presumed: u.Presumed, dismissed: u.Crashes == 0})
		} else if until := now.Add(min(ttl, endless)); until.After(c.convictedUntil) {
			c.convictions = max(c.convictions, int(u.Crashes)-1)
			c.refuseFor(now, until.Sub(now))
			if !t.tolerates() && c.crashCount() == 0 {
				// Its crashes have expired. Without one it would be clear after the conviction.
				c.addCrash(crash{target: u.Target, began: now, at: now})
			}
			convicted++
		}
		t.relay(c)
	}
	log.WithFields(log.Fields{"updates": len(updates), "convicted": convicted}).Info("quarantine: crashes restored from the store")
}
