// Command third plays the scripted cases of the third review: stand-ins of the platform, its runners and its clients
// beside real processes of the entry hosts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// cases returns whether the rule held.
var cases = map[string]func(rec *record, program string, trouble bool) bool{
	"shed": shed,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE PROGRAM RECORD")
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes end with this thread
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stopped
		endAll()
		os.Exit(2)
	}()
	rec := newRecord(os.Args[3])
	held := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	endAll()
	rec.line("held: %v", held)
	rec.close()
	if !held {
		os.Exit(1)
	}
}
