package shape

import (
	"testing"

	"github.com/matryer/is"
)

// TestParse guards against a malformed shape that is accepted, and against a
// valid one that is rejected or changed when it is printed.
func TestParse(t *testing.T) {
	tests := []struct {
		text string
		want Shape
		bad  bool
	}{
		{text: "4x2@rack", want: Shape{4, 2, LevelRack}},
		{text: "1x8@worker", want: Shape{1, 8, LevelWorker}},
		{text: "512x1@domain", want: Shape{512, 1, LevelDomain}},
		{text: "", bad: true},
		{text: "4x2", bad: true},
		{text: "4@rack", bad: true},
		{text: "0x2@rack", bad: true},
		{text: "513x1@rack", bad: true},
		{text: "4x65@rack", bad: true},
		{text: "4x2@row", bad: true},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(tt.text)
			is.Equal(err != nil, tt.bad)
			is.Equal(got, tt.want)
			if !tt.bad {
				is.Equal(got.String(), tt.text)
			}
		})
	}
}
