package snapshot_test

import (
	"fmt"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/state"
)

// This example splits a state into chunks and assembles the state from them.
// In the system the chunks are records in the log.
func Example() {
	var s state.State
	publish, err := record.New(record.KindPublish, "p1", record.Publish{Name: "account/asha", Body: []byte(`{"weight":2}`)})
	if err != nil {
		fmt.Println(err)
		return
	}
	if _, err := s.Apply(0, &record.Batch{Writer: "kochi-1", Seq: 1, At: 1796361383123, Records: []record.Record{publish}}); err != nil {
		fmt.Println(err)
		return
	}
	chunks, err := snapshot.Split(&s, "kochi-1/1")
	if err != nil {
		fmt.Println(err)
		return
	}
	var a snapshot.Assembler
	for _, c := range chunks {
		loaded, err := a.Add(s.Offset, c)
		if err != nil {
			fmt.Println(err)
			return
		}
		if loaded != nil {
			fmt.Println(loaded.Offset, loaded.Accounts["asha"].Weight, loaded.Sum() == s.Sum())
		}
	}
	// Output: 1 2 true
}
