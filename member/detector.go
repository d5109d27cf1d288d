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
	minFailedPings     = 3 // consecutive; a single ping may fail because of a dropped connection
	maxConcurrentPings = 16
	proposeTimeout     = 5 * time.Second
	challengePrefix    = "challenge/" // prefix of the id of a fence record that asks the named writer to append one
)

// FailureDetector pings the members that rank this instance among their watchers
// and proposes to evict those that have failed. Fields are set before Run.
//
// A member whose pings fail is evicted in one of two cases:
//
//   - Its pings have failed for SuspectTimeout, and a recent read of the
//     platform's list does not show it, or shows it as leaving.
//   - Its pings have failed for ConfirmTimeout, it has not answered a challenge
//     (a request in the log to append a record) for a third of that time, and at
//     least half of the other members do not reach it either. This covers
//     members that the list shows, or may show, as live.
//
// Watchers of lower rank wait RankDelay longer for each rank before theirs.
type FailureDetector struct {
	Writer        string
	View          func(func(*state.State)) // replica.Replica.View
	Fresh         func() bool              // whether the view is current and the log is available; otherwise nothing is evicted
	Propose       func(ctx context.Context, recs ...record.Record) ([]state.Decision, error)
	ListInstances func(ctx context.Context) ([]stream.Instance, error)
	Ping          func(ctx context.Context, addr, writer string) error
	AskReach      func(ctx context.Context, addr, writer string) (bool, error) // whether the member at addr reaches the writer
	Logger        *zap.Logger                                                  // none if nil

	Clock          func() time.Time // default time.Now
	PingInterval   time.Duration    // between pings; default 1 s
	PingTimeout    time.Duration    // default 1 s
	ListMaxAge     time.Duration    // maximum age of the last read of the list; default 10 s; at most 3 s while a member fails
	SuspectTimeout time.Duration    // evict a member that fails for this long and is not listed as live; default 5 s
	ConfirmTimeout time.Duration    // evict a member that fails for this long and that half of the others do not reach; default 30 s
	Watchers       int              // number of instances that ping each member; default 5

	once           sync.Once
	mu             sync.Mutex
	contacts       map[string]*contact
	list           map[string]stream.Instance // by name
	listReadAt     time.Time                  // when the list was last read; zero if never
	lastTick       time.Time
	challengedSelf bool // another instance challenged this one, which has not answered yet
	wg             sync.WaitGroup
}

// contact is what this instance knows of its contact with one member.
type contact struct {
	failures      int
	failingSince  time.Time // first of the consecutive failures
	seq           uint64    // of the member's last batch in the state
	challengedAt  time.Time // when the first challenge that it has not answered was applied; zero if none
	lastChallenge time.Time // when it was last challenged, by any instance
	evicting      bool
	lastAsked     time.Time // when the other members were last asked whether they reach it
}

// peer is another member, copied from the state.
type peer struct {
	writer, name, addr string
	seq                uint64
	rank               int // of this instance among the member's watchers
}

// Run watches the members until the context ends, and then returns nil.
func (l *FailureDetector) Run(ctx context.Context) error {
	l.init()
	defer l.wg.Wait()
	t := time.NewTicker(l.PingInterval)
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

// FailingFor returns for how long pings of the member have failed. It returns 0
// if they do not fail, or if this instance does not watch the member.
func (l *FailureDetector) FailingFor(writer string) time.Duration {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contacts[writer]
	if c == nil || c.failures == 0 {
		return 0
	}
	return l.Clock().Sub(c.failingSince)
}

// Leaving reports whether the platform's list shows the instance as leaving. The
// list lags behind, so this is only a hint.
func (l *FailureDetector) Leaving(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list[name].Leaving
}

// Reach pings the member now and reports whether it answered. It serves the
// requests of other instances (see AskReach).
func (l *FailureDetector) Reach(ctx context.Context, writer string) bool {
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

// tick runs one round of pings and decisions.
func (l *FailureDetector) tick(ctx context.Context) {
	l.init()
	now := l.Clock()
	l.mu.Lock()
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > 3*(l.PingInterval+l.PingTimeout) {
		// This process was paused. Earlier failures no longer show that a
		// member is unreachable, and members have not failed merely because
		// this instance did not ping them.
		for _, c := range l.contacts {
			c.failures = 0
		}
		l.listReadAt = time.Time{}
	}
	l.lastTick = now
	l.mu.Unlock()

	l.answerChallenge(ctx)
	peers := l.peers()
	suspects := l.pingAll(ctx, peers)
	l.readList(ctx, len(suspects) > 0)
	for _, p := range suspects {
		l.challenge(ctx, p)
		l.evictIfDead(ctx, p, peers)
	}
}

// peers returns the other members and deletes the contacts of former members.
func (l *FailureDetector) peers() []peer {
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
			c.seq, c.challengedAt = p.seq, time.Time{}
		}
		l.contacts[p.writer] = c
	}
	return out
}

// watchRank returns the rank of the writer among the watchers of the member
// watched, which does not watch itself. It returns -1 if the writer is not a
// member.
func watchRank(members []*state.Member, watched, writer string) int {
	subject := "watch/" + watched
	rank := Rank(members, subject, writer)
	if own := Rank(members, subject, watched); rank >= 0 && own >= 0 && own < rank {
		rank--
	}
	return rank
}

// pingAll pings the members that this instance watches and returns those of
// which at least minFailedPings consecutive pings have failed.
func (l *FailureDetector) pingAll(ctx context.Context, peers []peer) []peer {
	slots := make(chan struct{}, maxConcurrentPings)
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.rank < 0 || p.rank >= l.Watchers {
			l.recordPing(p.writer, nil)
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l.recordPing(p.writer, l.ping(ctx, p.addr, p.writer))
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []peer
	for _, p := range peers {
		if l.contacts[p.writer].failures >= minFailedPings {
			out = append(out, p)
		}
	}
	return out
}

func (l *FailureDetector) ping(ctx context.Context, addr, writer string) error {
	ctx, cancel := context.WithTimeout(ctx, l.PingTimeout)
	defer cancel()
	return l.Ping(ctx, addr, writer)
}

// recordPing records the result of a ping.
func (l *FailureDetector) recordPing(writer string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contacts[writer]
	switch {
	case err == nil:
		c.failures = 0
	case c.failures == 0:
		c.failures, c.failingSince = 1, l.Clock()
	default:
		c.failures++
	}
}

// readList reads the platform's list if the last read is too old.
func (l *FailureDetector) readList(ctx context.Context, failing bool) {
	maxAge := l.ListMaxAge
	if failing {
		maxAge = min(maxAge, 3*time.Second)
	}
	l.mu.Lock()
	due := l.listReadAt.IsZero() || l.Clock().Sub(l.listReadAt) >= maxAge
	l.mu.Unlock()
	if !due {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, l.PingTimeout)
	defer cancel()
	start := l.Clock()
	list, err := l.ListInstances(lctx)
	if err != nil {
		return
	}
	byName := make(map[string]stream.Instance, len(list))
	for _, in := range list {
		byName[in.Name] = in
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list, l.listReadAt = byName, start
}

// challenge appends a record that asks the failing member to append one in turn.
// Any member that reaches the log can answer, even on the other side of a
// network partition between the instances.
func (l *FailureDetector) challenge(ctx context.Context, p peer) {
	now := l.Clock()
	wait := time.Duration(p.rank) * RankDelay
	l.mu.Lock()
	c := l.contacts[p.writer]
	due := now.Sub(c.failingSince)-wait >= l.ConfirmTimeout/3 && c.challengedAt.IsZero() && now.Sub(c.lastChallenge) >= l.ConfirmTimeout/3
	if due {
		c.lastChallenge = now
	}
	l.mu.Unlock()
	if due && l.Fresh() {
		l.propose(ctx, record.KindFence, challengePrefix+p.writer, record.Fence{}, nil)
	}
}

// Observe receives each decision of the replica, in log order, so that
// challenges are seen and answered. It does not block. It is intended as the
// replica's callback for decisions.
func (l *FailureDetector) Observe(o state.Decision) {
	if o.Kind != record.KindFence || !o.Accepted() {
		return
	}
	writer, ok := strings.CutPrefix(o.ID, challengePrefix)
	if !ok {
		return
	}
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if writer == l.Writer {
		l.challengedSelf = true
	} else if c := l.contacts[writer]; c != nil {
		c.lastChallenge = l.Clock()
		if c.challengedAt.IsZero() {
			c.challengedAt = c.lastChallenge
		}
	}
}

// answerChallenge appends an empty fence record if this instance was challenged.
func (l *FailureDetector) answerChallenge(ctx context.Context) {
	l.mu.Lock()
	due := l.challengedSelf
	l.challengedSelf = false
	l.mu.Unlock()
	if due {
		l.propose(ctx, record.KindFence, "", record.Fence{}, nil)
	}
}

// evictIfDead evicts a failing member if the rules of FailureDetector allow it.
func (l *FailureDetector) evictIfDead(ctx context.Context, p peer, peers []peer) {
	now := l.Clock()
	l.mu.Lock()
	c := l.contacts[p.writer]
	failing := now.Sub(c.failingSince) - time.Duration(p.rank)*RankDelay
	listCurrent := !l.listReadAt.IsZero() && now.Sub(l.listReadAt) <= l.SuspectTimeout
	entry, listed := l.list[p.name]
	live := listed && !entry.Leaving
	unanswered := !c.challengedAt.IsZero() && now.Sub(c.challengedAt) >= l.ConfirmTimeout/3
	evicting := c.evicting
	ask := failing >= l.ConfirmTimeout && now.Sub(c.lastAsked) >= l.SuspectTimeout
	l.mu.Unlock()

	if evicting || !l.Fresh() {
		return
	}
	if failing >= l.SuspectTimeout && listCurrent && !live {
		l.evict(ctx, p, "unreachable and not listed as live")
		return
	}
	// A member that the list shows as live, or may show as live, stays as long
	// as it appends to the log.
	if !ask || !unanswered {
		return
	}
	l.mu.Lock()
	c.evicting, c.lastAsked = true, now
	l.mu.Unlock()
	l.wg.Go(func() {
		agreed := l.confirmUnreachable(ctx, p, peers)
		l.mu.Lock()
		c.evicting = false
		l.mu.Unlock()
		if agreed && l.Fresh() {
			l.evict(ctx, p, "unreachable for most")
		}
	})
}

// confirmUnreachable asks the other members and reports whether at least half of
// them fail to reach the suspect. Members that do not answer do not count as
// failing to reach it.
func (l *FailureDetector) confirmUnreachable(ctx context.Context, suspect peer, peers []peer) bool {
	var mu sync.Mutex
	others, unreachable := 0, 0
	slots := make(chan struct{}, maxConcurrentPings)
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.writer == suspect.writer {
			continue
		}
		others++
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			actx, cancel := context.WithTimeout(ctx, 2*l.PingTimeout) // includes the ping that the other member sends
			defer cancel()
			reached, err := l.AskReach(actx, p.addr, suspect.writer)
			if err == nil && !reached {
				mu.Lock()
				unreachable++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return 2*unreachable >= others
}

// evict proposes to evict the member unless an eviction is in progress or the
// member has answered since.
func (l *FailureDetector) evict(ctx context.Context, p peer, cause string) {
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

// propose appends a record in the background. The state shows its outcome.
func (l *FailureDetector) propose(ctx context.Context, kind record.Kind, id string, body any, done func()) {
	rec, err := record.New(kind, id, body)
	if err != nil {
		l.Logger.Error("cannot encode record; it is not proposed", zap.Error(err))
		return
	}
	l.wg.Go(func() {
		pctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := l.Propose(pctx, rec); err != nil {
			l.Logger.Warn("proposal failed; a later round may repeat it", zap.String("kind", string(kind)), zap.Error(err))
		}
		if done != nil {
			done()
		}
	})
}

func (l *FailureDetector) init() {
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
			{&l.PingInterval, time.Second}, {&l.PingTimeout, time.Second}, {&l.ListMaxAge, 10 * time.Second},
			{&l.SuspectTimeout, 5 * time.Second}, {&l.ConfirmTimeout, 30 * time.Second},
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
