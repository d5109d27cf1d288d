// Package cli is the command line tool for operators and callers.
package cli
