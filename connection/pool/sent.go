package pool

import "time"

// The counts of sent requests are kept in sentBuckets buckets of sentBucket each.
const (
	sentBucket  = 100 * time.Millisecond
	sentBuckets = 40
)

// Sent is a number of requests and the sums of their estimated tokens.
type Sent struct {
	Count   int
	Prefill int
	Decode  int
}

// sentRing holds the counts of the last sentBuckets buckets in a ring.
type sentRing struct {
	buckets       [sentBuckets]Sent
	bucketNumbers [sentBuckets]int64
}

func (s *sentRing) add(now time.Time, n Sent) {
	bucket := now.UnixNano() / int64(sentBucket)
	i := bucket % sentBuckets
	if s.bucketNumbers[i] != bucket {
		s.bucketNumbers[i], s.buckets[i] = bucket, Sent{}
	}
	s.buckets[i].Count += n.Count
	s.buckets[i].Prefill += n.Prefill
	s.buckets[i].Decode += n.Decode
}

// since sums the buckets that end after from. The bucket that contains from is
// included, because an overestimate of the load is preferred to an underestimate.
func (s *sentRing) since(from, now time.Time) Sent {
	first := from.UnixNano() / int64(sentBucket)
	oldest := now.UnixNano()/int64(sentBucket) - sentBuckets
	var sum Sent
	for i, n := range s.buckets {
		if s.bucketNumbers[i] < first || s.bucketNumbers[i] <= oldest {
			continue
		}
		sum.Count += n.Count
		sum.Prefill += n.Prefill
		sum.Decode += n.Decode
	}
	return sum
}
