// Command second plays the cases of the second review: it starts entry hosts as separate processes beside stand-ins for
// the platform, the runners and the clients, and checks one rule. Its exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(*deployment, bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, began: time.Now()}
	d := newDeployment(r, dir)
	var once sync.Once
	finish := func(status int) {
		once.Do(func() {
			d.stop()
			r.log("exit status %d", status)
			_ = file.Close()
			_ = os.RemoveAll(dir)
			os.Exit(status)
		})
	}
	go func() {
		select {
		case <-ended:
			r.log("interrupted")
		case <-time.After(timeLimit):
			r.log("not done in time")
		}
		finish(2)
	}()
	finish(cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0"))
}

// timeLimit is the longest time of a case.
const timeLimit = 115 * time.Second
