package member_test

import (
	"fmt"

	"jasminelane.example/lane/member"
	"jasminelane.example/lane/state"
)

// Each member computes the same order, so that one of them acts and the others
// wait.
func ExampleRank() {
	members := []*state.Member{{Writer: "kochi-1"}, {Writer: "kozhikode-1"}, {Writer: "thrissur-1"}}
	taken := map[int]bool{}
	for _, m := range members {
		taken[member.Rank(members, "job/proof-7", m.Writer)] = true
	}
	fmt.Println(taken, member.Rank(members, "job/proof-7", "stranger"))
	// Output: map[0:true 1:true 2:true] -1
}
