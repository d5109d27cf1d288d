package state

import (
	"slices"
	"strings"

	"jasminelane.example/lane/record"
)

// MaxMembers is the largest number of members.
const MaxMembers = 2000

// Member returns the member with the writer id, or nil.
func (s *State) Member(writer string) *Member {
	for _, m := range s.Members {
		if m.Writer == writer {
			return m
		}
	}
	return nil
}

// join applies record.Join: the batch's writer becomes a member.
func (s *State) join(b *record.Batch, j record.Join) (Reason, string) {
	switch {
	case j.Name == "" || len(j.Name) > MaxNameBytes:
		return ReasonField, "name"
	case len(j.Addr) > MaxNameBytes:
		return ReasonField, "addr"
	case len(j.Domain) > MaxNameBytes:
		return ReasonField, "domain"
	}
	newest := ""
	for _, c := range s.Configs {
		// Reports the smallest name, because map order differs by instance.
		if !c.Deleted && c.MinVersion > j.Version && (newest == "" || c.Name < newest) {
			newest = c.Name
		}
	}
	if newest != "" {
		return ReasonUpgrade, newest
	}
	if s.Writers[b.Writer].Fenced {
		return ReasonFenced, b.Writer // left or was evicted earlier in this batch
	}
	if s.Member(b.Writer) != nil {
		return ReasonExists, b.Writer
	}
	if len(s.Members) >= MaxMembers {
		return ReasonFull, "members"
	}
	// A new incarnation of an instance replaces its old one.
	for _, m := range s.Members {
		if m.Name == j.Name {
			s.removeMember(m.Writer)
			break
		}
	}
	s.Members = append(s.Members, &Member{
		Writer: b.Writer, Name: j.Name, Addr: j.Addr, Domain: j.Domain,
		Version: j.Version, JoinOffset: s.Offset - 1, JoinedAt: s.Now,
	})
	slices.SortFunc(s.Members, func(a, b *Member) int { return strings.Compare(a.Writer, b.Writer) })
	return "", ""
}

// leave applies record.Leave: the writer ends its own membership.
func (s *State) leave(writer string) (Reason, string) {
	if s.Member(writer) == nil {
		return ReasonUnknown, writer
	}
	s.removeMember(writer)
	return "", ""
}

// evictMember applies record.Evict: it ends the membership of another writer.
func (s *State) evictMember(e record.Evict) (Reason, string) {
	if s.Member(e.Writer) == nil {
		return ReasonUnknown, e.Writer
	}
	s.removeMember(e.Writer)
	return "", ""
}

// removeMember removes the member and fences its writer: later batches of the
// writer are refused.
func (s *State) removeMember(writer string) {
	s.Members = slices.DeleteFunc(s.Members, func(m *Member) bool { return m.Writer == writer })
	if w := s.Writers[writer]; w != nil {
		w.Fenced = true
	}
}
