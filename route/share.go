package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// updateShares recomputes this instance's shares of the connections and slots of
// all servers.
func (t *Table) updateShares() {
	for _, s := range t.servers {
		s.connectionShare = t.shareOf(s, s.connections)
		for c := range s.slotShares {
			s.slotShares[c] = t.shareOf(s, s.slots-s.reservedSlots(Class(c)))
		}
	}
}

// shareOf returns this instance's share of the server's n connections or slots:
// floor(n / members). If there are more members than n, the n members that rank
// first for the server by rendezvous hashing get one each, so that the service
// stays usable and the sum of the shares stays within n.
func (t *Table) shareOf(s *Server, n int) int {
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

// rendezvous returns the rank of the member for the subject; the highest goes first.
func rendezvous(member, subject string) uint64 {
	return xxhash.Sum64String(member + "\x00" + subject)
}

// reservedSlots returns the number of slots that requests of the class may not
// use: an eighth for normal requests and a quarter for bulk ones. If long requests
// filled the server, an urgent one would wait until the first of them ended.
func (s *Server) reservedSlots(c Class) int {
	if c == Urgent || s.slots < 4 {
		return 0
	}
	return (s.slots + 7) / 8 * int(c)
}

// limit returns the number of requests in flight on the server up to which this
// instance may send one of the class: its share of the slots that the class may
// use or, while the server's report is recent, all of these slots that other
// instances do not use. It is never more than the instance's connections.
// Reserved slots are subtracted before the slots are divided: otherwise a share of
// at least one for each of 9 instances would fill 8 slots.
func (t *Table) limit(s *Server, now int64, c Class) int {
	n := s.slotShares[c]
	if s.reportedAt != 0 && now-s.reportedAt < t.reportAgeLimitMs(s, c) {
		n = max(n, s.slots-max(0, s.reportedLoad-s.reportedOwn)-s.reservedSlots(c))
	} else if c == Urgent {
		// Long requests of other classes may fill this instance's share, but they
		// leave the reserved slots of the server to urgent requests.
		n = max(n, s.inflight-s.inflightByClass[Urgent]+1)
	}
	return min(n, s.connectionShare)
}

// reportAgeLimitMs returns the age up to which a load report is used for the class.
// With long requests the load of a server changes slowly, so for an urgent request
// an old report is better than none. Bulk requests use recent reports only,
// because a burst of them through several instances would fill the slots that are
// reserved from them before the reports show it.
func (t *Table) reportAgeLimitMs(s *Server, c Class) int64 {
	if c == Bulk {
		return orDefault(t.MaxReportAgeMs, 1000)
	}
	if c == Urgent {
		return t.scoreAgeLimitMs(s)
	}
	return max(orDefault(t.MaxReportAgeMs, 1000), int64(s.service.serviceTimeMs[c]))
}
