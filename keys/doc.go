// Package keys loads a process's TLS certificate and trusted certificate
// authorities from PEM files and reloads them when the files change.
package keys
