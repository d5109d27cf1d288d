package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/platform"
)

const settingsText = `{"node":"front-1","ip":"10.1.0.19","listen":{"front":"10.1.0.19:8521","ready":"10.1.0.19:8523"},
"portRange":[7000,7015],"bounds":{"holdMaxMs":6000,"graceS":6},"platform":{"addr":"10.200.1.7:8524","keep_s":300}}`

// Guards against an invalid settings file that replaces the current settings,
// and against a changed address of the store that is ignored after a reload.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(settingsText)
	settings, err := platform.ReadSettings(path)
	is.NoErr(err)
	f := &settingsFile{path: path, log: zap.NewNop()}
	f.current.Store(settings)
	write("{")
	f.reload("signal")
	is.Equal(f.current.Load().StoreAddr, "10.200.1.7:8524")
	write(strings.Replace(settingsText, "10.200.1.7", "10.200.1.8", 1))
	f.reload("look")
	is.Equal(f.current.Load().StoreAddr, "10.200.1.8:8524")
}
