package state

import (
	"slices"
	"strings"

	"jasminelane.example/lane/record"
)

// MaxMembers bounds the live members.
const MaxMembers = 2000

// Member returns the live member with the writer identity, or nil.
func (s *State) Member(writer string) *Member {
	for _, m := range s.Members {
		if m.Writer == writer {
			return m
		}
	}
	return nil
}

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
		// The least name, because the order of the map differs by instance.
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
	// A new incarnation replaces the older one of the same instance.
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

func (s *State) leave(writer string) (Reason, string) {
	if s.Member(writer) == nil {
		return ReasonUnknown, writer
	}
	s.removeMember(writer)
	return "", ""
}

func (s *State) evictMember(e record.Evict) (Reason, string) {
	if s.Member(e.Writer) == nil {
		return ReasonUnknown, e.Writer
	}
	s.removeMember(e.Writer)
	return "", ""
}

// removeMember fences the writer, so that nothing it still sends takes effect.
func (s *State) removeMember(writer string) {
	s.Members = slices.DeleteFunc(s.Members, func(m *Member) bool { return m.Writer == writer })
	if w := s.Writers[writer]; w != nil {
		w.Fenced = true
	}
}
