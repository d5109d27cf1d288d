package route

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/state"
)

// newTable returns a table of n servers with 8 slots and 60 connections for a
// single instance.
func newTable(n int) *Table {
	t := &Table{}
	t.Update("badges", config(n, 60))
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

// The shares of all members must never sum to more than a server's
// connections, also when there are more members than connections.
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
			table.Update("badges", config(1, connections))
			table.SetMembers(self, members)
			sum += table.Connections("10.0.0.0:80")
		}
		if sum > connections || sum < connections/2 {
			t.Fatalf("%d members have %d of %d connections", len(members), sum, connections)
		}
	})
}

// An instance that is not a member must not open connections: the others have
// shared out all of them.
func TestNoShareWithoutJoin(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.SetMembers("i9", []string{"i0"})
	is.Equal(table.Connections("10.0.0.0:80"), 0)
	_, err := table.Pick("badges", 1, nil, Urgent)
	is.Equal(reason(err), ReasonBusy)
	_, err = table.Pick("other", 1, nil, Urgent)
	is.Equal(reason(err), ReasonService)
}

// In flight must stay within the slots, and go beyond the own share only by
// what the server reports as unused by others.
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
	is.Equal(n, 2)                                                 // 8 slots, 4 members, nothing reported
	table.Done(s, 2, Result{Loaded: true, Busy: 5})                // 2 own, 3 of others
	n, s = pick(3)                                                 // 8 - 3 = 5 may be in flight, 1 is
	is.Equal(n, 4)                                                 //
	table.Done(s, 4, Result{Loaded: true, Busy: 13})               // the others took 8
	n, _ = pick(5)                                                 //
	is.Equal(n, 0)                                                 //
	table.Done(s, 6, Result{Verdict: Dropped})                     // 3 in flight
	table.Done(s, 7, Result{Verdict: Dropped})                     // 2 in flight
	n, _ = pick(8)                                                 //
	is.Equal(n, 0)                                                 // own share is 2
	table.Done(s, 9, Result{Loaded: true, Busy: 2, Leaving: true}) //
	_, err := table.Pick("badges", 10, nil, Urgent)                //
	is.Equal(reason(err), ReasonServer)                            // leaving
	is.True(!table.Fresh(s, 10))                                   // nor may what was picked before be sent
}

// A server that is slower for the same load must get less; with equal servers
// no one may be left out.
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

// A server that fails is left alone, tested by one request at a time after a
// delay, and used again after it answered.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.Random = func() float64 { return 0.5 }
	for now := range int64(3) {
		s, err := table.Pick("badges", now, nil, Urgent)
		is.NoErr(err)
		table.Done(s, now, Result{Verdict: Failed})
	}
	_, err := table.Pick("badges", 10, nil, Urgent)
	is.Equal(reason(err), ReasonServer)
	s, err := table.Pick("badges", 600, nil, Urgent)
	is.NoErr(err)
	is.True(!table.Fresh(s, 600)) // to be probed
	_, err = table.Pick("badges", 600, nil, Urgent)
	is.Equal(reason(err), ReasonServer) // one trial at a time
	table.Done(s, 650, Result{Verdict: Failed})
	_, err = table.Pick("badges", 1200, nil, Urgent)
	is.Equal(reason(err), ReasonServer) // the delay doubled
	s, err = table.Pick("badges", 1700, nil, Urgent)
	is.NoErr(err)
	table.Done(s, 1710, Result{Verdict: Answered})
	for range 8 {
		s, err = table.Pick("badges", 1720, nil, Urgent)
		is.NoErr(err)
		is.True(table.Fresh(s, 1720))
	}
}

// A server that takes requests and says nothing must not get more; a slow one
// that answers must, also before its service time is known.
func TestStall(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	s, err := table.Pick("badges", 1, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 9000, nil, Urgent) // may be a slow service
	is.NoErr(err)
	table.Done(s, 9001, Result{Verdict: Answered, Took: 20})
	is.Equal(table.AttemptTimeout(s, Urgent), int64(500))
	_, err = table.Pick("badges", 9400, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 9600, nil, Urgent)
	is.Equal(reason(err), ReasonServer)
	for range 100 {
		table.Done(s, 12_000, Result{Verdict: Answered, Took: 2000})
		s, err = table.Pick("badges", 12_000, nil, Urgent)
		is.NoErr(err)
	}
	is.True(table.AttemptTimeout(s, Urgent) > 15_900) // 8 times the service time
	_, err = table.Pick("badges", 27_800, nil, Urgent)
	is.NoErr(err)
	_, err = table.Pick("badges", 28_100, nil, Urgent)
	is.Equal(reason(err), ReasonServer)
}

// A server that takes no connection is left alone at once; one of many that is
// new is judged by what the service usually takes.
func TestGone(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	s, err := table.Pick("badges", 1, nil, Urgent)
	is.NoErr(err)
	is.Equal(table.AttemptTimeout(s, Urgent), int64(10_000))
	table.Done(s, 2, Result{Verdict: Gone})
	for range 8 {
		o, err := table.Pick("badges", 3, nil, Urgent)
		is.NoErr(err)
		is.True(o != s)
		table.Done(o, 4, Result{Verdict: Answered, Took: 100})
	}
	is.Equal(table.AttemptTimeout(s, Urgent), int64(800))
	is.Equal(table.Usual("badges", Urgent), int64(100))
}

// Each of the three sources of the leaving mark must stop new work at once.
func TestLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		mark func(*Table)
	}{
		{"configuration", func(table *Table) {
			b := config(1, 60)
			b.Servers[0].Leaving = true
			table.Update("badges", b)
		}},
		{"list", func(table *Table) { table.SetListed([]string{"10.0.0.0:80"}) }},
		{"header", func(table *Table) {
			s, _ := table.Pick("badges", 1, nil, Urgent)
			table.Done(s, 2, Result{Leaving: true})
		}},
	} {
		table := newTable(1)
		c.mark(table)
		if _, err := table.Pick("badges", 3, nil, Urgent); reason(err) != ReasonServer {
			t.Errorf("%s: picked a leaving server: %v", c.name, err)
		}
	}
}

// Counts must survive a change of configuration in flight, or the connection
// cap would be exceeded.
func TestUpdateKeepsInflight(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	for range 8 {
		_, err := table.Pick("badges", 1, nil, Urgent)
		is.NoErr(err)
	}
	table.Update("badges", config(1, 30))
	table.Update("names", config(1, 12))
	_, err := table.Pick("names", 2, nil, Urgent)
	is.Equal(reason(err), ReasonBusy) // the same server
	is.Equal(table.Connections("10.0.0.0:80"), 12)
	is.Equal(table.Status("badges", 2)[0].Inflight, 8)
	table.Update("badges", nil)
	table.Update("names", nil)
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
		table.Done(s, i, Result{Verdict: Answered})
	}
}

// Long requests of lower classes must not take all slots, and silence while
// they run is no stall.
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
	table.Done(last, 2, Result{Verdict: Answered, Class: Urgent, Took: 1})
	table.Done(last, 9000, Result{Verdict: Answered, Class: Normal, Took: 9000})
	_, err := table.Pick("badges", 20_000, nil, Urgent) // bulk runs, its time is not known
	is.Equal(reason(err), ReasonServer)
	table.Done(last, 20_001, Result{Verdict: Answered, Class: Bulk, Took: 20_000})
	_, err = table.Pick("badges", 70_000, nil, Urgent)
	is.NoErr(err)
}

// Own long requests that fill the share of the slots must not block an urgent
// one when nothing recent is known of the server; a report that it is full must.
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
	table.Done(s, 5, Result{Verdict: Answered, Class: Urgent, Took: 2, Loaded: true, Busy: 10})
	_, err = table.Pick("badges", 6, nil, Urgent)
	is.Equal(reason(err), ReasonBusy)
}

// Nine instances of one slot each would fill the eight slots of a server with
// bulk requests, so that urgent ones wait until the first of these ends.
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

// The slots that all members may fill without a report must never be more than
// those that are not kept from the class.
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
			table.Update("badges", body)
			table.SetMembers(self, members)
			s = table.servers["10.0.0.0:80"]
			for c, n := range s.parts {
				sums[c] += n
			}
		}
		for c, n := range sums {
			if most := s.slots - s.kept(Class(c)); n > most || n <= most/2 {
				t.Fatalf("%d members fill %d of %d slots with %s requests", len(members), n, most, classNames[c])
			}
		}
	})
}

// With fewer slots than instances, one without a slot of its own would refuse
// a class for ever, because only an answer lends it one.
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
			is.Equal(reason(err), ReasonBusy) // not more than one
			table.Done(s, 3, Result{Verdict: Answered, Class: c, Took: 2, Loaded: true, Busy: 10})
			s, err = table.Pick("badges", 4, nil, c)
			is.NoErr(err) // also when the server is reported full
			table.Done(s, 5, Result{Verdict: Failed, Class: c})
		}
	}
}
