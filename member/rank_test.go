package member

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/state"
)

// members returns n members with the writers w000, w001 and so on.
func members(n int) []*state.Member {
	out := make([]*state.Member, n)
	for i := range out {
		out[i] = &state.Member{Writer: fmt.Sprintf("w%03d", i), Name: fmt.Sprintf("n%03d", i), Addr: fmt.Sprintf("a%03d", i)}
	}
	return out
}

// TestRankIsPermutation guards against two members that both rank first, or
// none, and against a removal that changes ranks ahead of the removed member.
func TestRankIsPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := members(rapid.IntRange(1, 40).Draw(t, "members"))
		subject := rapid.String().Draw(t, "subject")
		byRank := map[int]string{}
		for _, m := range ms {
			byRank[Rank(ms, subject, m.Writer)] = m.Writer
		}
		for i := range ms {
			if byRank[i] == "" {
				t.Fatalf("nobody has rank %d: %v", i, byRank)
			}
		}
		gone := rapid.IntRange(0, len(ms)-1).Draw(t, "gone")
		lost := Rank(ms, subject, ms[gone].Writer)
		rest := append(append([]*state.Member(nil), ms[:gone]...), ms[gone+1:]...)
		for _, m := range rest {
			before, after := Rank(ms, subject, m.Writer), Rank(rest, subject, m.Writer)
			if before < lost && after != before || before > lost && after != before-1 {
				t.Fatalf("%s had rank %d, %d after rank %d left", m.Writer, before, after, lost)
			}
		}
		if Rank(rest, subject, ms[gone].Writer) != -1 {
			t.Fatal("a writer that is no member has a rank")
		}
	})
}

// TestRankIsEven guards against one member that is first for most subjects.
func TestRankIsEven(t *testing.T) {
	is := is.New(t)
	ms := members(10)
	first := map[string]int{}
	for i := range 10_000 {
		for _, m := range ms {
			if Rank(ms, fmt.Sprintf("job/%d", i), m.Writer) == 0 {
				first[m.Writer]++
			}
		}
	}
	for _, m := range ms {
		is.True(first[m.Writer] > 800 && first[m.Writer] < 1200)
	}
}

// BenchmarkRank measures one call of Rank among 170 members.
func BenchmarkRank(b *testing.B) {
	ms := members(170)
	for b.Loop() {
		Rank(ms, "job/1796361383123", ms[7].Writer)
	}
}
