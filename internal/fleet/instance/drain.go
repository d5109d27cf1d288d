package instance

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// handoverLatencies and handoverReserve give the time that is kept for a
	// handover on a slow store: an append, one that is repeated, and a margin.
	handoverLatencies = 2.5
	handoverReserve   = 500 * time.Millisecond

	// slowCheckPeriod is the time between two checks of whether the store is still
	// slow.
	slowCheckPeriod = 50 * time.Millisecond
)

// announceInterval is the time between two checks of whether the instance's
// address must be written to the log again.
const announceInterval = time.Second

// announceAddr writes the instance's peer address to the log, for the other
// instances. It writes the address again before the record expires: after a
// third of the log's retention time.
func (n *Instance) announceAddr(ctx context.Context) error {
	var written time.Time
	for ctx.Err() == nil {
		if n.Feed.Status().Fresh() && time.Since(written) > n.Settings.Bounds.Retention/3 {
			if err := n.Feed.Write(ctx, n.joinRecord()); err != nil {
				n.Logger.Info("cannot write the peer address to the log; retrying", zap.Error(err))
			} else {
				written = time.Now()
			}
		}
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// joinRecord returns the record that announces the instance.
func (n *Instance) joinRecord() ledger.Record {
	return ledger.Record{Join: &ledger.Join{
		Instance: n.Settings.Node, Addr: n.Settings.PeerAddr,
		CPUs: int64(1000 * n.Settings.CPUs), Incarnation: n.Feed.Incarnation, Draining: n.Draining(),
	}}
}

// drainOnStop waits until stop is closed and then drains the instance. It hands
// over the leadership and reports to the load balancer that the instance is not
// ready. It serves callers until the balancer sends no new ones, and then shuts
// the callers' server down, early enough for the process to exit within the
// shutdown grace period. It returns nil if the run group ends first.
func (n *Instance) drainOnStop(stop <-chan struct{}, done <-chan struct{}, callers *http.Server) error {
	select {
	case <-stop:
	case <-done:
		return nil
	}
	began := time.Now()
	n.draining.Store(true)
	n.Logger.Info("draining", zap.Bool("leading", n.Feed.Leading()))
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.ShutdownGrace-exitReserve)
	defer cancel()
	retired := make(chan struct{})
	go func() {
		defer close(retired)
		n.retire(ctx)
	}()
	delayed := n.delaysHandover()
	t := time.NewTimer(min(balancerDelay, n.Settings.ShutdownGrace/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
		return nil
	}
	err := callers.Shutdown(ctx)
	if delayed || n.delaysHandover() {
		<-retired
	}
	n.Logger.Info("drained", zap.Duration("took", time.Since(began)), zap.Error(err))
	return &DrainedError{}
}

// delaysHandover reports whether a draining leader keeps leading for a while:
// among many instances, while the store is slow, because a change of leader would
// take long then.
func (n *Instance) delaysHandover() bool {
	return n.Latency.SlowLatency() > 0 && n.Feed.HasManyInstances() && n.Feed.Leading()
}

// retire announces that the instance drains, and hands over the leadership if it
// leads. While the store is slow it hands over only shortly before the end of the
// context.
func (n *Instance) retire(ctx context.Context) {
	n.Feed.StopClaiming()
	if n.Feed.HasManyInstances() {
		go func() {
			if err := n.Feed.Write(ctx, n.joinRecord()); err != nil {
				n.Logger.Info("cannot write to the log that this instance is draining", zap.Error(err))
			}
		}()
	}
	began := time.Now()
	deadline, _ := ctx.Deadline()
	for ctx.Err() == nil && n.delaysHandover() && time.Until(deadline) > n.handoverTime() {
		delay.For(ctx, slowCheckPeriod)
	}
	if waited := time.Since(began); waited > slowCheckPeriod {
		n.Logger.Info("handover was delayed while the store is slow", zap.Duration("waited", waited), zap.Duration("latency", n.Latency.Estimate()))
	}
	n.Feed.Retire(ctx)
}

// handoverTime returns the time that a handover may take at the latency of the
// store.
func (n *Instance) handoverTime() time.Duration {
	return handoverReserve + time.Duration(handoverLatencies*float64(n.Latency.Estimate()))
}
