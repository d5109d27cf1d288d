package member

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

const (
	minFailures  = 3 // pings in a row: a single one may fail by a dropped connection
	maxPings     = 16
	evictTimeout = 5 * time.Second
	challengeID  = "challenge/" // starts the id of a fence that asks the named writer to append
)

// Liveness watches the members that rank this instance among their watchers
// and proposes to evict those that are dead. Fields are set before Run.
type Liveness struct {
	Writer  string
	View    func(func(*state.State)) // replica.Replica.View
	Fresh   func() bool              // whether the view is current and the log is up; nothing is evicted otherwise
	Propose func(ctx context.Context, recs ...record.Record) ([]state.Decision, error)
	List    func(ctx context.Context) ([]stream.Instance, error)
	Ping    func(ctx context.Context, addr, writer string) error
	Ask     func(ctx context.Context, addr, writer string) (bool, error) // whether the member at addr reaches the writer
	Logger  *zap.Logger                                                  // none if nil

	Clock       func() time.Time // default time.Now
	Interval    time.Duration    // between pings; default 1 s
	PingTimeout time.Duration    // default 1 s
	ListMaxAge  time.Duration    // how old a read of the list may be; default 10 s, 3 s while a member fails
	Suspect     time.Duration    // failing for this long and not listed as live: evict; default 5 s
	Confirm     time.Duration    // failing for this long and for half of the others: evict; default 30 s
	Watchers    int              // instances that ping each member; default 5

	once     sync.Once
	mu       sync.Mutex
	contacts map[string]*contact
	list     map[string]stream.Instance // by name
	listed   time.Time                  // when the list was read; zero never
	ticked   time.Time
	answer   bool // this instance was challenged
	wg       sync.WaitGroup
}

// contact is what is known of one member.
type contact struct {
	failures   int
	since      time.Time // first failure in a row
	seq        uint64    // last batch seen in the state
	challenged time.Time // when a challenge was folded that it has not answered; zero for none
	tried      time.Time // when it was last challenged, by any instance
	evicting   bool
	asked      time.Time // when the others were asked last
}

// peer is a member as taken from the state.
type peer struct {
	writer, name, addr string
	seq                uint64
	rank               int // of this instance among the member's watchers
}

// Run watches the members until the context ends, and then returns nil.
func (l *Liveness) Run(ctx context.Context) error {
	l.init()
	defer l.wg.Wait()
	t := time.NewTicker(l.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Failing returns for how long direct contact with the member has failed; 0 if
// it has not, or if this instance does not watch it.
func (l *Liveness) Failing(writer string) time.Duration {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contacts[writer]
	if c == nil || c.failures == 0 {
		return 0
	}
	return l.Clock().Sub(c.since)
}

// Leaving reports whether the platform's list shows the instance as leaving;
// the list lags, so this is only a hint.
func (l *Liveness) Leaving(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list[name].Leaving
}

// Reach pings the member now and reports whether it answered; it serves the
// questions of other instances.
func (l *Liveness) Reach(ctx context.Context, writer string) bool {
	l.init()
	addr := ""
	l.View(func(s *state.State) {
		if m := s.Member(writer); m != nil {
			addr = m.Addr
		}
	})
	if addr == "" {
		return false
	}
	return l.ping(ctx, addr, writer) == nil
}

// tick makes one round of pings and decisions.
func (l *Liveness) tick(ctx context.Context) {
	l.init()
	now := l.Clock()
	l.mu.Lock()
	if !l.ticked.IsZero() && now.Sub(l.ticked) > 3*(l.Interval+l.PingTimeout) {
		// This process was paused: what failed before says nothing now, and
		// the others have not failed just because they were not pinged.
		for _, c := range l.contacts {
			c.failures = 0
		}
		l.listed = time.Time{}
	}
	l.ticked = now
	l.mu.Unlock()

	l.answerChallenge(ctx)
	peers := l.peers()
	suspects := l.pingAll(ctx, peers)
	l.readList(ctx, len(suspects) > 0)
	for _, p := range suspects {
		l.challenge(ctx, p)
		l.judge(ctx, p, peers)
	}
}

// peers returns the other members, and forgets contacts that are no members.
func (l *Liveness) peers() []peer {
	var out []peer
	l.View(func(s *state.State) {
		for _, m := range s.Members {
			if m.Writer == l.Writer {
				continue
			}
			p := peer{writer: m.Writer, name: m.Name, addr: m.Addr, rank: watchRank(s.Members, m.Writer, l.Writer)}
			if w := s.Writers[m.Writer]; w != nil {
				p.seq = w.Seq
			}
			out = append(out, p)
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.contacts
	l.contacts = make(map[string]*contact, len(out))
	for _, p := range out {
		c := old[p.writer]
		if c == nil {
			c = &contact{}
		}
		if c.seq != p.seq {
			c.seq, c.challenged = p.seq, time.Time{}
		}
		l.contacts[p.writer] = c
	}
	return out
}

// watchRank ranks the instance among the watchers of the member, which does
// not watch itself; -1 for no member.
func watchRank(members []*state.Member, watched, writer string) int {
	subject := "watch/" + watched
	rank := Rank(members, subject, writer)
	if own := Rank(members, subject, watched); rank >= 0 && own >= 0 && own < rank {
		rank--
	}
	return rank
}

// pingAll pings the members that this instance watches and returns those that
// fail.
func (l *Liveness) pingAll(ctx context.Context, peers []peer) []peer {
	slots := make(chan struct{}, maxPings)
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.rank < 0 || p.rank >= l.Watchers {
			l.heard(p.writer, nil)
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l.heard(p.writer, l.ping(ctx, p.addr, p.writer))
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []peer
	for _, p := range peers {
		if l.contacts[p.writer].failures >= minFailures {
			out = append(out, p)
		}
	}
	return out
}

func (l *Liveness) ping(ctx context.Context, addr, writer string) error {
	ctx, cancel := context.WithTimeout(ctx, l.PingTimeout)
	defer cancel()
	return l.Ping(ctx, addr, writer)
}

func (l *Liveness) heard(writer string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contacts[writer]
	switch {
	case err == nil:
		c.failures = 0
	case c.failures == 0:
		c.failures, c.since = 1, l.Clock()
	default:
		c.failures++
	}
}

// readList reads the platform's list when the last read is too old.
func (l *Liveness) readList(ctx context.Context, failing bool) {
	maxAge := l.ListMaxAge
	if failing {
		maxAge = min(maxAge, 3*time.Second)
	}
	l.mu.Lock()
	due := l.listed.IsZero() || l.Clock().Sub(l.listed) >= maxAge
	l.mu.Unlock()
	if !due {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, l.PingTimeout)
	defer cancel()
	start := l.Clock()
	list, err := l.List(lctx)
	if err != nil {
		return
	}
	byName := make(map[string]stream.Instance, len(list))
	for _, in := range list {
		byName[in.Name] = in
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list, l.listed = byName, start
}

// challenge appends a record that asks the failing member to append one in
// turn. Whoever reaches the log can answer, even from the other side of a
// partition between the instances.
func (l *Liveness) challenge(ctx context.Context, p peer) {
	now := l.Clock()
	wait := time.Duration(p.rank) * RankDelay
	l.mu.Lock()
	c := l.contacts[p.writer]
	due := now.Sub(c.since)-wait >= l.Confirm/3 && c.challenged.IsZero() && now.Sub(c.tried) >= l.Confirm/3
	if due {
		c.tried = now
	}
	l.mu.Unlock()
	if due && l.Fresh() {
		l.propose(ctx, record.KindFence, challengeID+p.writer, record.Fence{}, nil)
	}
}

// Observe takes each outcome that the replica folds, in log order, so that
// challenges are seen and answered; it does not block. It is meant for
// replica.Replica.OnOutcome.
func (l *Liveness) Observe(o state.Decision) {
	if o.Kind != record.KindFence || !o.Accepted() {
		return
	}
	writer, ok := strings.CutPrefix(o.ID, challengeID)
	if !ok {
		return
	}
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if writer == l.Writer {
		l.answer = true
	} else if c := l.contacts[writer]; c != nil {
		c.tried = l.Clock()
		if c.challenged.IsZero() {
			c.challenged = c.tried
		}
	}
}

// answerChallenge appends an empty record if this instance was challenged.
func (l *Liveness) answerChallenge(ctx context.Context) {
	l.mu.Lock()
	due := l.answer
	l.answer = false
	l.mu.Unlock()
	if due {
		l.propose(ctx, record.KindFence, "", record.Fence{}, nil)
	}
}

// judge evicts a failing member if the rule allows it.
func (l *Liveness) judge(ctx context.Context, p peer, peers []peer) {
	now := l.Clock()
	l.mu.Lock()
	c := l.contacts[p.writer]
	failing := now.Sub(c.since) - time.Duration(p.rank)*RankDelay
	known := !l.listed.IsZero() && now.Sub(l.listed) <= l.Suspect
	in, shown := l.list[p.name]
	live := shown && !in.Leaving
	silent := !c.challenged.IsZero() && now.Sub(c.challenged) >= l.Confirm/3
	busy := c.evicting
	ask := failing >= l.Confirm && now.Sub(c.asked) >= l.Suspect
	l.mu.Unlock()

	if busy || !l.Fresh() {
		return
	}
	if failing >= l.Suspect && known && !live {
		l.evict(ctx, p, "unreachable and not listed as live")
		return
	}
	// A member that the list shows as live, or may show, stays while it appends.
	if !ask || !silent {
		return
	}
	l.mu.Lock()
	c.evicting, c.asked = true, now
	l.mu.Unlock()
	l.wg.Go(func() {
		agreed := l.confirm(ctx, p, peers)
		l.mu.Lock()
		c.evicting = false
		l.mu.Unlock()
		if agreed && l.Fresh() {
			l.evict(ctx, p, "unreachable for most")
		}
	})
}

// confirm asks the other members and reports whether at least half of them
// fail to reach the member; those that do not answer do not count as failing.
func (l *Liveness) confirm(ctx context.Context, suspect peer, peers []peer) bool {
	var mu sync.Mutex
	others, fail := 0, 0
	slots := make(chan struct{}, maxPings)
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.writer == suspect.writer {
			continue
		}
		others++
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			actx, cancel := context.WithTimeout(ctx, 2*l.PingTimeout) // the other pings in turn
			defer cancel()
			reached, err := l.Ask(actx, p.addr, suspect.writer)
			if err == nil && !reached {
				mu.Lock()
				fail++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return 2*fail >= others
}

func (l *Liveness) evict(ctx context.Context, p peer, cause string) {
	l.mu.Lock()
	c := l.contacts[p.writer]
	if c == nil || c.evicting || c.failures == 0 {
		l.mu.Unlock()
		return
	}
	c.evicting = true
	l.mu.Unlock()
	l.Logger.Warn("evicting member", zap.String("member", p.writer), zap.String("cause", cause))
	l.propose(ctx, record.KindEvict, "evict/"+p.writer, record.Evict{Writer: p.writer, Cause: cause}, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.evicting = false
	})
}

// propose appends a record in the background; what became of it is seen in
// the state.
func (l *Liveness) propose(ctx context.Context, kind record.Kind, id string, body any, done func()) {
	rec, err := record.New(kind, id, body)
	if err != nil {
		l.Logger.Error("encode", zap.Error(err))
		return
	}
	l.wg.Go(func() {
		pctx, cancel := context.WithTimeout(ctx, evictTimeout)
		defer cancel()
		if _, err := l.Propose(pctx, rec); err != nil {
			l.Logger.Warn("proposal failed", zap.String("kind", string(kind)), zap.Error(err))
		}
		if done != nil {
			done()
		}
	})
}

func (l *Liveness) init() {
	l.once.Do(func() {
		if l.Logger == nil {
			l.Logger = zap.NewNop()
		}
		if l.Clock == nil {
			l.Clock = time.Now
		}
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{
			{&l.Interval, time.Second}, {&l.PingTimeout, time.Second}, {&l.ListMaxAge, 10 * time.Second},
			{&l.Suspect, 5 * time.Second}, {&l.Confirm, 30 * time.Second},
		} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
		if l.Watchers == 0 {
			l.Watchers = 5
		}
	})
}
