package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/stream"
)

// listEvery is how often the platform's list is read for leaving backend
// servers; their own answers usually tell earlier.
const listEvery = 2 * time.Second

// listing marks the backend servers that the platform's list shows as leaving.
type listing struct {
	list   func(context.Context) ([]stream.Instance, error)
	set    func(leaving []string)
	logger *zap.Logger
}

func (l *listing) run(ctx context.Context) error {
	t := time.NewTicker(listEvery)
	defer t.Stop()
	for {
		l.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// read keeps the marks as they are when the list cannot be read.
func (l *listing) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listEvery)
	defer cancel()
	all, err := l.list(ctx)
	if err != nil {
		l.logger.Debug("list not read", zap.Error(err))
		return
	}
	var leaving []string
	for _, i := range all {
		if i.Leaving {
			leaving = append(leaving, i.Addr)
		}
	}
	l.set(leaving)
}
