package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/state"
)

// RankDelay is how long a member waits before it acts itself, for each member
// that ranks before it.
const RankDelay = 300 * time.Millisecond

// Rank returns the rank of the writer among the members for the subject, by
// rendezvous hashing. 0 is first; -1 means that the writer is not a member. When
// a member joins or leaves, only the ranks behind it change.
func Rank(members []*state.Member, subject, writer string) int {
	mine, found := uint64(0), false
	for _, m := range members {
		if m.Writer == writer {
			mine, found = score(subject, writer), true
			break
		}
	}
	if !found {
		return -1
	}
	rank := 0
	for _, m := range members {
		if m.Writer == writer {
			continue
		}
		if s := score(subject, m.Writer); s > mine || s == mine && m.Writer < writer {
			rank++
		}
	}
	return rank
}

// score returns the hash of the pair. The zero byte between its parts gives
// ("ab", "c") and ("a", "bc") different hashes.
func score(subject, writer string) uint64 {
	var buf [96]byte
	b := append(buf[:0], subject...)
	b = append(b, 0)
	b = append(b, writer...)
	return xxhash.Sum64(b)
}
