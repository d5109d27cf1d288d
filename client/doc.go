// Package client calls the HTTP APIs of an entry instance, for the command
// line tool and for programs of callers and operators.
package client
