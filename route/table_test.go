package route

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/state"
)

// newTable returns the table of the only instance, with n servers of 8 slots and
// 60 connections each.
func newTable(n int) *Table {
	t := &Table{}
	t.UpdateService("badges", config(n, 60))
	t.SetMembers("i0", []string{"i0"})
	return t
}

func config(n, connections int) *state.ServiceBody {
	var b state.ServiceBody
	for i := range n {
		b.Servers = append(b.Servers, state.ServerBody{
			Name: fmt.Sprintf("s%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8, Connections: connections,
		})
	}
	return &b
}

func reason(err error) Reason {
	var e *RefusedError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// TestSharesWithinCap guards against shares of all members that sum to more than
// the connections of a server, also when there are more members than connections.
func TestSharesWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 70).Draw(t, "connections")
		members := make([]string, rapid.IntRange(1, 100).Draw(t, "members"))
		for i := range members {
			members[i] = fmt.Sprintf("i%d", i)
		}
		sum := 0
		for _, self := range members {
			table := &Table{}
			table.UpdateService("badges", config(1, connections))
			table.SetMembers(self, members)
			sum += table.Connections("10.0.0.0:80")
		}
		if sum > connections || sum < connections/2 {
			t.Fatalf("%d members have %d of %d connections", len(members), sum, connections)
		}
	})
}

// TestNoShareWithoutJoin guards against connections of an instance that is not a
// member: the members have divided all connections among themselves.
func TestNoShareWithoutJoin(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.SetMembers("i9", []string{"i0"})
	is.Equal(table.Connections("10.0.0.0:80"), 0)
	_, err := table.Pick("badges", 1, nil, Urgent)
	is.Equal(reason(err), ReasonBusy)
	_, err = table.Pick("other", 1, nil, Urgent)
	is.Equal(reason(err), ReasonNoService)
}

// TestSlotShare guards against more requests in flight than slots, and more than
// the instance's share plus the slots that the server reports as unused by others.
func TestSlotShare(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.SetMembers("i0", []string{"i0", "i1", "i2", "i3"})
	pick := func(now int64) (n int, last *Server) {
		for {
			s, err := table.Pick("badges", now, nil, Urgent)
			if err != nil {
				return n, last
			}
			n, last = n+1, s
		}
	}
	n, s := pick(1)
	is.Equal(n, 2)                                                  // 8 slots, 4 members, nothing reported
	table.Done(s, 2, Result{HasLoad: true, Load: 5})                // 2 of this instance, 3 of others
	n, s = pick(3)                                                  // 8 - 3 = 5 may be in flight, 1 is
	is.Equal(n, 4)                                                  //
	table.Done(s, 4, Result{HasLoad: true, Load: 13})               // others use 8
	n, _ = pick(5)                                                  //
	is.Equal(n, 0)                                                  //
	table.Done(s, 6, Result{Outcome: Abandoned})                    // 3 in flight
	table.Done(s, 7, Result{Outcome: Abandoned})                    // 2 in flight
	n, _ = pick(8)                                                  //
	is.Equal(n, 0)                                                  // the share is 2
	table.Done(s, 9, Result{HasLoad: true, Load: 2, Leaving: true}) //
	_, err := table.Pick("badges", 10, nil, Urgent)                 //
	is.Equal(reason(err), ReasonNoServer)                           // leaving
	is.True(!table.CanSend(s, 10))                                  // a server picked before is probed first
}

// TestPowerOfTwoChoices guards against a choice that ignores the load: a server
// that is slower for the same load must get fewer requests, and no server may be
// left out when all are equal.
func TestPowerOfTwoChoices(t *testing.T) {
	is := is.New(t)
	table := newTable(10)
	counts := map[string]int{}
	for now := range int64(40) {
		s, err := table.Pick("badges", now, nil, Urgent)
		is.NoErr(err)
		counts[s.Name]++
	}
	for name, n := range counts {
		is.True(n <= 7) // 4 on average; a random choice alone reaches 9 and more
		is.True(name != "")
	}
	is.True(len(counts) >= 9)
}

// TestBreaker guards against requests to a failing server, against more than one
// trial request at a time after the delay, and against a server that stays unused
// after it has answered.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.Random = func() float64 { return 0.5 }
	for now := range int64(3) {
		s, err := table.Pick("badges", now, nil, Urgent)
		is.NoErr(err)
		table.Done(s, now, Result{Outcome: Failed})
	}
	_, err := table.Pick("badges", 10, nil, Urgent)
	is.Equal(reason(err), ReasonNoServer)
	s, err := table.Pick("badges", 600, nil, Urgent)
	is.NoErr(err)
	is.True(!table.CanSend(s, 600)) // it is probed first
	_, err = table.Pick("badges", 600, nil, Urgent)
	is.Equal(reason(err), ReasonNoServer) // one trial at a time
	table.Done(s, 650, Result{Outcome: Failed})
	_, err = table.Pick("badges", 1200, nil, Urgent)
	is.Equal(reason(err), ReasonNoServer) // the delay doubled
	s, err = table.Pick("badges", 1700, nil, Urgent)
	is.NoErr(err)
	table.Done(s, 1710, Result{Outcome: Answered})
	for range 8 {
		s, err = table.Pick("badges", 1720, nil, Urgent)
		is.NoErr(err)
		is.True(table.CanSend(s, 1720))
	}
}

// TestStall guards against further requests to a server that accepts requests and
// does not answer, and against refusing a slow server that answers, also before its
// service time is known.
func TestStall(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	s, err := table.Pick("badges", 1, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 9000, nil, Urgent) // may be a slow service
	is.NoErr(err)
	table.Done(s, 9001, Result{Outcome: Answered, DurationMs: 20})
	is.Equal(table.AttemptTimeoutMs(s, Urgent), int64(500))
	_, err = table.Pick("badges", 9400, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 9600, nil, Urgent)
	is.Equal(reason(err), ReasonNoServer)
	for range 100 {
		table.Done(s, 12_000, Result{Outcome: Answered, DurationMs: 2000})
		s, err = table.Pick("badges", 12_000, nil, Urgent)
		is.NoErr(err)
	}
	is.True(table.AttemptTimeoutMs(s, Urgent) > 15_900) // 8 times the service time
	_, err = table.Pick("badges", 27_800, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 28_100, nil, Urgent)
	is.Equal(reason(err), ReasonNoServer)
}

// TestGone guards against further requests to a server that accepts no connection,
// and against a new server whose timeout ignores the known service time of its
// service.
func TestGone(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	s, err := table.Pick("badges", 1, nil, Urgent)
	is.NoErr(err)
	is.Equal(table.AttemptTimeoutMs(s, Urgent), int64(10_000))
	table.Done(s, 2, Result{Outcome: Unreachable})
	for range 8 {
		o, err := table.Pick("badges", 3, nil, Urgent)
		is.NoErr(err)
		is.True(o != s)
		table.Done(o, 4, Result{Outcome: Answered, DurationMs: 100})
	}
	is.Equal(table.AttemptTimeoutMs(s, Urgent), int64(800))
	is.Equal(table.ServiceTimeMs("badges", Urgent), int64(100))
}

// TestLeaving guards against new requests to a server that is leaving according to
// any of the three sources: configuration, platform list and answer header.
func TestLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		mark func(*Table)
	}{
		{"configuration", func(table *Table) {
			b := config(1, 60)
			b.Servers[0].Leaving = true
			table.UpdateService("badges", b)
		}},
		{"list", func(table *Table) { table.SetLeaving([]string{"10.0.0.0:80"}) }},
		{"header", func(table *Table) {
			s, _ := table.Pick("badges", 1, nil, Urgent)
			table.Done(s, 2, Result{Leaving: true})
		}},
	} {
		table := newTable(1)
		c.mark(table)
		if _, err := table.Pick("badges", 3, nil, Urgent); reason(err) != ReasonNoServer {
			t.Errorf("%s: picked a leaving server: %v", c.name, err)
		}
	}
}

// TestUpdateKeepsInflight guards against a change of configuration that resets the
// counts of requests in flight, after which the connection limit is exceeded.
func TestUpdateKeepsInflight(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	for range 8 {
		_, err := table.Pick("badges", 1, nil, Urgent)
		is.NoErr(err)
	}
	table.UpdateService("badges", config(1, 30))
	table.UpdateService("names", config(1, 12))
	_, err := table.Pick("names", 2, nil, Urgent)
	is.Equal(reason(err), ReasonBusy) // the same server
	is.Equal(table.Connections("10.0.0.0:80"), 12)
	is.Equal(table.Status("badges", 2)[0].Inflight, 8)
	table.UpdateService("badges", nil)
	table.UpdateService("names", nil)
	is.Equal(table.Connections("10.0.0.0:80"), 0)
}

func BenchmarkPick(b *testing.B) {
	table := newTable(50)
	b.ReportAllocs()
	for i := range int64(b.N) {
		s, err := table.Pick("badges", i, nil, Urgent)
		if err != nil {
			b.Fatal(err)
		}
		table.Done(s, i, Result{Outcome: Answered})
	}
}

// TestSlotsKeptForUrgent guards against long requests of lower classes that take
// all slots, and against a server that counts as stalled while such requests run.
func TestSlotsKeptForUrgent(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	var last *Server
	for _, c := range []struct {
		class Class
		most  int // in flight
	}{{Bulk, 6}, {Normal, 7}, {Urgent, 8}} {
		for {
			s, err := table.Pick("badges", 1, nil, c.class)
			if err != nil {
				break
			}
			last = s
		}
		is.Equal(table.Status("badges", 1)[0].Inflight, c.most)
	}
	table.Done(last, 2, Result{Outcome: Answered, Class: Urgent, DurationMs: 1})
	table.Done(last, 9000, Result{Outcome: Answered, Class: Normal, DurationMs: 9000})
	_, err := table.Pick("badges", 20_000, nil, Urgent) // bulk requests run, and their service time is not known
	is.Equal(reason(err), ReasonNoServer)
	table.Done(last, 20_001, Result{Outcome: Answered, Class: Bulk, DurationMs: 20_000})
	_, err = table.Pick("badges", 70_000, nil, Urgent)
	is.NoErr(err)
}

// TestUrgentBesideFullShare guards against an urgent request that is refused
// because long requests of the same instance fill its share, when there is no
// recent report. A report that the server is full must still refuse it.
func TestUrgentBesideFullShare(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.SetMembers("i0", []string{"i0", "i1", "i2", "i3", "i4", "i5"})
	s, err := table.Pick("badges", 1, nil, Bulk)
	is.NoErr(err)
	_, err = table.Pick("badges", 2, nil, Bulk)
	is.Equal(reason(err), ReasonBusy)
	_, err = table.Pick("badges", 3, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 4, nil, Urgent)
	is.Equal(reason(err), ReasonBusy)
	table.Done(s, 5, Result{Outcome: Answered, Class: Urgent, DurationMs: 2, HasLoad: true, Load: 10})
	_, err = table.Pick("badges", 6, nil, Urgent)
	is.Equal(reason(err), ReasonBusy)
}

// TestBulkOfAllInstancesLeavesSlots guards against nine instances with a share of
// one slot each that fill the eight slots of a server with bulk requests, so that
// urgent ones wait until the first of these ends.
func TestBulkOfAllInstancesLeavesSlots(t *testing.T) {
	is := is.New(t)
	var members []string
	for i := range 9 {
		members = append(members, fmt.Sprintf("i%d", i))
	}
	sums := map[string]int{}
	for _, self := range members {
		table := newTable(50)
		table.SetMembers(self, members)
		for {
			s, err := table.Pick("badges", 1, nil, Bulk)
			if err != nil {
				break
			}
			sums[s.Addr]++
		}
	}
	is.Equal(len(sums), 50)
	for _, n := range sums {
		is.Equal(n, 6)
	}
}

// TestPartsWithinSlots guards against slot shares that sum to more than the slots
// that the class may use.
func TestPartsWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := config(1, 60)
		body.Servers[0].Slots = rapid.IntRange(1, 40).Draw(t, "slots")
		members := make([]string, rapid.IntRange(1, 60).Draw(t, "members"))
		for i := range members {
			members[i] = fmt.Sprintf("i%d", i)
		}
		var sums [classes]int
		var s *Server
		for _, self := range members {
			table := &Table{}
			table.UpdateService("badges", body)
			table.SetMembers(self, members)
			s = table.servers["10.0.0.0:80"]
			for c, n := range s.slotShares {
				sums[c] += n
			}
		}
		for c, n := range sums {
			if most := s.slots - s.reservedSlots(Class(c)); n > most || n <= most/2 {
				t.Fatalf("%d members fill %d of %d slots with %s requests", len(members), n, most, classNames[c])
			}
		}
	})
}

// TestInstanceWithoutPart guards against an instance that refuses a class forever
// because it has no slot share, when there are fewer slots than instances: only an
// answer reports the unused slots that it could use.
func TestInstanceWithoutPart(t *testing.T) {
	is := is.New(t)
	var members []string
	for i := range 30 {
		members = append(members, fmt.Sprintf("i%d", i))
	}
	for _, self := range members {
		for _, c := range []Class{Urgent, Normal, Bulk} {
			table := newTable(1)
			table.SetMembers(self, members)
			s, err := table.Pick("badges", 1, nil, c)
			is.NoErr(err)
			_, err = table.Pick("badges", 2, nil, c)
			is.Equal(reason(err), ReasonBusy) // at most one request
			table.Done(s, 3, Result{Outcome: Answered, Class: c, DurationMs: 2, HasLoad: true, Load: 10})
			s, err = table.Pick("badges", 4, nil, c)
			is.NoErr(err) // also when the server is reported full
			table.Done(s, 5, Result{Outcome: Failed, Class: c})
		}
	}
}
