package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/stream"
)

// listInterval is the interval between reads of the platform's list of
// instances. The responses of a leaving backend server usually show earlier that
// it leaves.
const listInterval = 2 * time.Second

// leavingWatcher marks the backend servers that are leaving according to the
// platform's list of instances.
type leavingWatcher struct {
	list       func(context.Context) ([]stream.Instance, error)
	setLeaving func(leaving []string)
	logger     *zap.Logger
}

func (l *leavingWatcher) run(ctx context.Context) error {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		l.update(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// update reads the list and updates the marks. If the read fails, the marks stay
// as they are.
func (l *leavingWatcher) update(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	all, err := l.list(ctx)
	if err != nil {
		l.logger.Debug("reading the platform's list of instances failed; the servers marked as leaving stay as they are", zap.Error(err))
		return
	}
	var leaving []string
	for _, i := range all {
		if i.Leaving {
			leaving = append(leaving, i.Addr)
		}
	}
	l.setLeaving(leaving)
}
