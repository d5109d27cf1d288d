package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

func playMemory(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), 48)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	d.MemoryMb, _ = strconv.Atoi(os.Getenv("MEM"))
	if err := d.StartNodes(3); err != nil {
		return notRun, err.Error()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.WatchMemory(ctx)
	jobs, _ := strconv.Atoi(os.Getenv("JOBS"))
	tasks, _ := strconv.Atoi(os.Getenv("TASKS"))
	for i := range jobs {
		d.Submit(fmt.Sprintf("/sheets/%016x", 0x77000000+i), fmt.Sprintf(`{"spec":"5000 ms","steps":[{"count":%d,"cpu":11000,"memMb":8000,"gpu":1,"estimateMs":5000}]}`, tasks))
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	ok := d.Submit("/names/00000000000000aa", `{"spec":"500 ms","steps":[{"count":1,"cpu":1000,"memMb":1000,"estimateMs":500}]}`)
	time.Sleep(5 * time.Second)
	st, body := d.Call(d.Pick(), http.MethodGet, "/names/00000000000000aa", "")
	text := ""
	for _, n := range d.Nodes {
		text += fmt.Sprintf("%s peak %d MB, %d kills; ", n.Name, n.PeakMb, n.Kills)
	}
	return held, fmt.Sprint(text, ok, st, body)
}
