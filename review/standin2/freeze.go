package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func playFreeze(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), 8)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	if err := d.StartNodes(3); err != nil {
		return notRun, err.Error()
	}
	a, b := d.Nodes[0], d.Nodes[1]
	n := 0
	for i := range 10 {
		if trouble {
			a.Signal(syscall.SIGSTOP)
			time.AfterFunc(4*time.Second, func() { a.Signal(syscall.SIGCONT) })
		}
		path := fmt.Sprintf("/sheets/%016x", 0x88000000+i)
		go func() {}()
		d.Call(a, http.MethodPost, path, `{"spec":"40000 ms","steps":[{"count":1,"cpu":11000,"memMb":8000,"estimateMs":40000}]}`)
		d.Call(b, http.MethodDelete, path, "")
		time.Sleep(2 * time.Second)
		st, _ := d.Call(b, http.MethodGet, path, "")
		if st == 200 {
			n++
		}
		time.Sleep(2 * time.Second)
	}
	return held, fmt.Sprint(n, " of 10 run")
}
