package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/settings"
)

// Serve runs an instance until the context ends or the instance is drained. When
// an incarnation is fenced, Serve starts a new one. Closing drain starts a
// graceful shutdown.
func Serve(ctx context.Context, set settings.Settings, logger *zap.Logger, drain <-chan struct{}) error {
	for {
		n := &Instance{Settings: set, Logger: logger}
		if err := n.Open(); err != nil {
			return err
		}
		stop := make(chan struct{})
		go func() {
			select {
			case <-drain:
				n.Drain()
			case <-stop:
			}
		}()
		err := n.Run(ctx)
		close(stop)
		n.close()
		var fenced *replica.FencedError
		if !errors.As(err, &fenced) || ctx.Err() != nil {
			return err
		}
		logger.Warn("this incarnation was fenced; joining again as a new one", zap.String("writer", fenced.Writer))
		// The pause keeps two processes with the same name from fencing each
		// other in a tight loop.
		sleep(ctx, time.Second)
	}
}
