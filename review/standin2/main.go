// Command standin2 plays one case of the review against the project's own programs: it
// starts them as separate processes, beside stand-ins of the platform, its executors and
// its clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxTime bounds a case. The users allow 120 s.
const maxTime = 110 * time.Second

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases has the cases by name. trouble tells whether the disruption is played. They
// return an exit code and what they found.
var cases = map[string]func(folder string, trouble bool) (int, string){
	"takeover": playTakeover,
	"gang":     playGang,
	"cancel":   playCancel,
	"after":    playAfter,
	"reborn":   playReborn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(notRun)
	}
	// The processes that were started end with this one.
	time.AfterFunc(maxTime, func() {
		fmt.Println("the case takes too long")
		os.Exit(notRun)
	})
	code, found := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	fmt.Println(found)
	os.Exit(code)
}

// recordPath returns the path of the record of a case.
func recordPath(folder string) string { return filepath.Join(folder, "record.txt") }
