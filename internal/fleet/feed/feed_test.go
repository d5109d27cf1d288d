package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against followers that all read each record as it comes, and against
// small followers that see a leader's signs too late while answers take long.
func TestPause(t *testing.T) {
	tests := []struct {
		name     string
		handicap time.Duration
		leads    bool
		took     time.Duration
		want     time.Duration
	}{
		{"follower", 0, false, time.Millisecond, followPause},
		{"small follower, busy log", time.Second, false, time.Millisecond, lazyPause},
		{"small follower, slow log", time.Second, false, 400 * time.Millisecond, followPause},
		{"leader", 0, true, time.Millisecond, leadPause},
		{"small leader", time.Second, true, time.Millisecond, leadPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &Feed{Handicap: tt.handicap}
			if tt.leads {
				f.lead = &term{}
			}
			is.Equal(f.pause(tt.took), tt.want)
		})
	}
}
