// Package settings reads the INI settings of an entry instance and checks them
// as a whole: every error is reported at once.
package settings
