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

// settingsPollPeriod is the time between two reads of the settings file, which
// may change without a signal.
const settingsPollPeriod = 5 * time.Second

// settingsFile holds the current settings and the path of their file. Calls
// read the addresses of the store and of the machines from the current
// settings; changes of other settings take effect at the next start of the
// process.
type settingsFile struct {
	path    string
	log     *zap.Logger
	current atomic.Pointer[platform.Settings]
}

// reloadSignal returns a channel that receives SIGHUP.
func reloadSignal() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watch reloads the file at each signal and every settingsPollPeriod.
func (f *settingsFile) watch(signals <-chan os.Signal) {
	t := time.NewTicker(settingsPollPeriod)
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

// reload reads the file and replaces the current settings. If the file cannot be
// read or is invalid, the current settings stay in use.
func (f *settingsFile) reload(cause string) {
	settings, err := platform.ReadSettings(f.path)
	if err != nil {
		f.log.Warn("settings not reloaded; the current settings stay in use", zap.String("cause", cause), zap.Error(err))
		return
	}
	old := f.current.Swap(settings)
	if *old != *settings {
		f.log.Info("settings reloaded", zap.String("cause", cause), zap.String("store", settings.StoreAddr), zap.Bool("restart", old.Settings != settings.Settings))
	}
}
