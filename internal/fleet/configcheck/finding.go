package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Severity tells how serious a finding is.
type Severity int

// The severities, the most serious one first.
const (
	Error   Severity = iota // the version must not be sent
	Warning                 // an entry that has no effect, or contradicts another one
	Change                  // a difference from the version in force
)

// String returns the severity as it is printed.
func (s Severity) String() string { return [...]string{"error", "warning", "change"}[s] }

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Path     string // entry of the operators' file, such as routes[3].host; empty for the whole file
	Message  string
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%v: %s", f.Severity, f.Message)
	}
	// The names of entries are arbitrary and may contain line breaks.
	path := strconv.Quote(f.Path)
	return fmt.Sprintf("%v %s: %s", f.Severity, path[1:len(path)-1], f.Message)
}

// Sort sorts findings by severity, path and message.
func Sort(list []Finding) {
	slices.SortFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Error })
}

// findings collects findings.
type findings []Finding

func (l *findings) add(s Severity, path, format string, args ...any) {
	*l = append(*l, Finding{s, path, fmt.Sprintf(format, args...)})
}

// number is a field that must not be negative.
type number struct {
	path  string
	value float64
}

// checkNumbers reports negative numbers.
func (l *findings) checkNumbers(list ...number) {
	for _, n := range list {
		if n.value < 0 {
			l.add(Error, n.path, "%v is negative", n.value)
		}
	}
}
