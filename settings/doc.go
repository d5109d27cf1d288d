// Package settings reads and checks the INI settings file of an entry instance.
// It checks the whole file and reports all errors at once.
package settings
