// Package cli implements lane, the command line tool with which operators and
// callers use the instances. Its subcommands call the HTTP APIs, read the log,
// or run a demo, replay or measurement in this process. Exit codes tell scripts
// whether a call was carried out, was not carried out, or has an unknown outcome.
package cli
