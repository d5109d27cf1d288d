package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names for calls, fields, headers and variables.
var names = struct {
	Start, Stop, Hold      string // calls to an executor
	Append, Read, Newest   string // calls to the store
	Machines               string // call to the list of machines
	Ack, Until, Checkpoint string // fields
	Expect                 string // header
	Config                 string // variable with the path of the settings
}{}

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}
