//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names that a Go file outside platform/ may not
// contain.
var names = func() (n struct {
	Settings, Append, Read, Newest, Machines, Start, Stop, Hold, Expect string
}) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()
