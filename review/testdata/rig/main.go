// Command rig plays the scripted cases of the review against the built programs, on loopback addresses.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	cases := map[string]func(*rig, bool) (int, error){"crashes-at-once": crashesAtOnce, "foreign-record": foreignRecord}
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(scenario func(*rig, bool) (int, error), folder string) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	r, err := newRig(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.stop()
	go func() {
		<-signals
		r.stop()
		os.Exit(notRun)
	}()
	code, err := scenario(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(io.MultiWriter(os.Stderr, file), "not run:", err)
		return notRun
	}
	return code
}

// verdict writes the outcome to the record and to standard output.
func (r *rig) verdict(ok bool, text string) int {
	code, word := held, "held"
	if !ok {
		code, word = broken, "broken"
	}
	r.log("%s: %s", word, text)
	fmt.Println(word+":", text)
	return code
}
