// Package keys holds a process's TLS certificate and the authorities that it
// trusts, read from files and read again when the files change.
package keys
