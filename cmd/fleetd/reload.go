package main

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/platform"
)

// reloadPeriod separates the looks at the settings file, which may change
// without a signal.
const reloadPeriod = 5 * time.Second

// settingsFile is the settings in use and the file that they come from. The
// address of the store is taken from it for each call; the other settings hold
// until the process starts again.
type settingsFile struct {
	path    string
	log     *zap.Logger
	current atomic.Pointer[platform.Settings]
}

// reloadSignal returns the channel of SIGHUP.
func reloadSignal() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watch reads the file again at each signal and from time to time.
func (f *settingsFile) watch(signals <-chan os.Signal) {
	t := time.NewTicker(reloadPeriod)
	defer t.Stop()
	for {
		select {
		case <-signals:
			f.reload("signal")
		case <-t.C:
			f.reload("look")
		}
	}
}

// reload takes the file's settings over; a file that cannot be used leaves
// those of before in use.
func (f *settingsFile) reload(cause string) {
	set, err := platform.ReadSettings(f.path)
	if err != nil {
		f.log.Warn("settings not reloaded", zap.String("cause", cause), zap.Error(err))
		return
	}
	old := f.current.Swap(set)
	if *old != *set {
		f.log.Info("settings reloaded", zap.String("cause", cause), zap.String("store", set.StoreAddr), zap.Bool("restart", old.Settings != set.Settings))
	}
}
