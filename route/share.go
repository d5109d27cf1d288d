package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

func (t *Table) reshare() {
	for _, s := range t.servers {
		s.share = t.divide(s, s.connections)
		for c := range s.parts {
			s.parts[c] = t.divide(s, s.slots-s.kept(Class(c)))
		}
	}
}

// divide returns this instance's part of the server's n connections or slots:
// floor(n / members). With more members than that, the members that rank first
// for the server by rendezvous hashing get one each, so that the service stays
// usable and the sum stays within n.
func (t *Table) divide(s *Server, n int) int {
	if !slices.Contains(t.members, t.self) {
		return 0
	}
	if part := n / len(t.members); part > 0 {
		return part
	}
	mine := rendezvous(t.self, s.Addr)
	ahead := 0
	for _, m := range t.members {
		if m == t.self {
			continue
		}
		if h := rendezvous(m, s.Addr); h > mine || h == mine && m < t.self {
			ahead++
		}
	}
	if ahead < n {
		return 1
	}
	return 0
}

func rendezvous(member, subject string) uint64 {
	return xxhash.Sum64String(member + "\x00" + subject)
}

// kept returns how many slots are kept from the class: an eighth of them from
// normal requests and a quarter from bulk ones, because a server full of long
// requests would make an urgent one wait until the first of them ends.
func (s *Server) kept(c Class) int {
	if c == Urgent || s.slots < 4 {
		return 0
	}
	return (s.slots + 7) / 8 * int(c)
}

// limit is how many requests this instance may have in flight on the server
// when it sends one of the class: its part of the slots that are not kept from
// the class or, while a report is recent, all of these that others do not use,
// and never more than its connections. The kept slots are taken off before the
// division: a part of at least one for each of 9 instances would fill 8 slots.
func (t *Table) limit(s *Server, now int64, c Class) int {
	n := s.parts[c]
	if s.reported != 0 && now-s.reported < t.reportAge(s, c) {
		n = max(n, s.slots-max(0, s.busy-s.own)-s.kept(c))
	} else if c == Urgent {
		// The own share may be full of long requests of other classes, which
		// leave some slots to urgent ones.
		n = max(n, s.inflight-s.flight[Urgent]+1)
	}
	return min(n, s.share)
}

// reportAge returns how long a report counts. Requests that take long make the
// load of a server change as slowly, so for an urgent request a report on them
// is better than none. Bulk requests go by recent reports only, because a wave
// of them through several instances would fill the slots that are kept from
// them before the reports show it.
func (t *Table) reportAge(s *Server, c Class) int64 {
	if c == Bulk {
		return orDefault(t.ReportAge, 1000)
	}
	if c == Urgent {
		return t.scoreAge(s)
	}
	return max(orDefault(t.ReportAge, 1000), int64(s.home.usual[c]))
}
