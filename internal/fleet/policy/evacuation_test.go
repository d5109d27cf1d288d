package policy

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an evacuation that returns after its withdrawal, or is withdrawn
// by an older record, when records arrive again or from an older read.
func TestEvacuations(t *testing.T) {
	on := func(v uint64) []Evacuation { return []Evacuation{{"kochi", true, v}} }
	off := func(v uint64) []Evacuation { return []Evacuation{{"kochi", false, v}} }
	tests := []struct {
		name  string
		apply func(p *Current)
		want  bool
	}{
		{"none", func(p *Current) {}, false},
		{"requested", func(p *Current) { p.ChangeEvacuations(on(1)) }, true},
		{"withdrawn", func(p *Current) { p.ChangeEvacuations(on(1)); p.ChangeEvacuations(off(2)) }, false},
		{"request read again", func(p *Current) { p.ChangeEvacuations(on(1)); p.ChangeEvacuations(off(2)); p.ChangeEvacuations(on(1)) }, false},
		{"withdrawal read again", func(p *Current) { p.ChangeEvacuations(off(2)); p.ChangeEvacuations(on(3)); p.ChangeEvacuations(off(2)) }, true},
		{"requested again", func(p *Current) { p.ChangeEvacuations(on(1)); p.ChangeEvacuations(off(2)); p.ChangeEvacuations(on(3)) }, true},
		{"not in a newer list", func(p *Current) { p.ChangeEvacuations(on(3)); p.ReplaceEvacuations(nil, 5) }, false},
		{"not in an older list", func(p *Current) { p.ChangeEvacuations(on(8)); p.ReplaceEvacuations(nil, 5) }, true},
		{"listed", func(p *Current) { p.ReplaceEvacuations(on(3), 5) }, true},
		{"requested after the list", func(p *Current) { p.ChangeEvacuations(on(3)); p.ReplaceEvacuations(nil, 5); p.ChangeEvacuations(on(6)) }, true},
		{"read again after the list", func(p *Current) { p.ChangeEvacuations(on(3)); p.ReplaceEvacuations(nil, 5); p.ChangeEvacuations(on(3)) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p Current
			tt.apply(&p)
			is.Equal(p.Evacuated("kochi"), tt.want)
			is.Equal(p.Evacuated("thrissur"), false)
		})
	}
}
