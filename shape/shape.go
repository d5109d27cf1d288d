package shape

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// Level is the level of the hierarchy within which all members of a shape must be
// placed.
type Level uint8

// Levels, from the smallest to the largest.
const (
	LevelWorker Level = iota
	LevelRack
	LevelDomain
)

var levelNames = []string{"worker", "rack", "domain"}

// String returns the level's name as it appears in the text of a shape.
func (l Level) String() string {
	if int(l) < len(levelNames) {
		return levelNames[l]
	}
	return "level" + strconv.Itoa(int(l))
}

// Limits of a shape.
const (
	MaxMembers = 512
	MaxGPUs    = 64 // accelerators per member, since the Mask of a worker has 64 bits
)

// Shape is a group of members with GPUs accelerators each. The accelerators of a
// member are on one worker, and all members are within one worker, rack or
// failure domain, according to Level.
type Shape struct {
	Members int   `cbor:"m" json:"members"`
	GPUs    int   `cbor:"g" json:"gpus"`
	Level   Level `cbor:"l" json:"level"`
}

// SyntaxError reports a text that is not a valid shape.
type SyntaxError struct {
	Text   string
	Reason string
}

// Error returns a message with the text and the reason.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("shape %q: %s; want MEMBERSxGPUS@LEVEL, for example 4x2@rack", e.Text, e.Reason)
}

// Parse parses a shape such as "4x2@rack". It fails with *SyntaxError.
func Parse(text string) (Shape, error) {
	size, level, ok := strings.Cut(text, "@")
	if !ok {
		return Shape{}, &SyntaxError{text, "@LEVEL is missing"}
	}
	members, gpus, ok := strings.Cut(size, "x")
	if !ok {
		return Shape{}, &SyntaxError{text, "xGPUS is missing"}
	}
	m, err := strconv.Atoi(members)
	if err != nil || m < 1 || m > MaxMembers {
		return Shape{}, &SyntaxError{text, fmt.Sprintf("number of members is not from 1 to %d", MaxMembers)}
	}
	g, err := strconv.Atoi(gpus)
	if err != nil || g < 1 || g > MaxGPUs {
		return Shape{}, &SyntaxError{text, fmt.Sprintf("accelerators per member are not from 1 to %d", MaxGPUs)}
	}
	for i, name := range levelNames {
		if name == level {
			return Shape{m, g, Level(i)}, nil
		}
	}
	return Shape{}, &SyntaxError{text, "level is not worker, rack or domain"}
}

// String returns the shape in the syntax of Parse.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d@%s", s.Members, s.GPUs, s.Level)
}

// TotalGPUs returns the number of accelerators in the shape.
func (s Shape) TotalGPUs() int { return s.Members * s.GPUs }

// Mask is a set of accelerators of one worker, one bit each.
type Mask uint64

// FirstN returns the mask of a worker's first n accelerators.
func FirstN(n int) Mask {
	if n >= 64 {
		return ^Mask(0)
	}
	return Mask(1)<<n - 1
}

// Count returns the number of accelerators in the mask.
func (m Mask) Count() int { return bits.OnesCount64(uint64(m)) }

// LowestN returns the n lowest accelerators of the mask, or 0 if it has fewer
// than n.
func (m Mask) LowestN(n int) Mask {
	if m.Count() < n {
		return 0
	}
	var out Mask
	for range n {
		low := m & -m
		out |= low
		m &^= low
	}
	return out
}

// Slot is a set of accelerators on one worker. Worker is the worker's index in
// the replicated state.
type Slot struct {
	Worker uint32 `cbor:"w" json:"worker"`
	Mask   Mask   `cbor:"m" json:"mask"`
}

// TotalGPUs returns the number of accelerators in the slots.
func TotalGPUs(slots []Slot) int {
	n := 0
	for _, s := range slots {
		n += s.Mask.Count()
	}
	return n
}
