package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

//go:embed settings.txt
var settingsText string

//go:embed config.txt
var configText string

// names maps the names used here to those of the users' platform.
var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(text) {
		if own, theirs, ok := strings.Cut(strings.TrimSpace(line), " "); ok && own != "#" {
			out[own] = theirs
		}
	}
	return out
}
