package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// runServer is a stand-in for a server of a plain service: one process, one boot. It writes a line to
// standard output for each request that begins to run. With -crash, a request whose path contains that
// text ends the process crashDelay after it has begun to run.
func runServer(args []string) int {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "id of this boot")
	crash := flags.String("crash", "", "text in the path of requests that crash the process")
	events := flags.Int("events", 0, "events of each answer, which is a stream then")
	_ = flags.Parse(args)
	var out sync.Mutex
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = body
		header := w.Header()
		header["Date"] = nil
		header.Set("Request-Id", r.Header.Get("Request-Id"))
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != *id {
			header.Set("Instance-Id", *id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		out.Lock()
		fmt.Printf("run %d %s %s\n", time.Now().UnixNano(), r.Header.Get("Request-Id"), r.URL.Path)
		out.Unlock()
		if *crash != "" && strings.Contains(r.URL.Path, *crash) {
			time.Sleep(crashDelay)
			os.Exit(3)
		}
		header.Set("Response-Seal", "seal-"+*id)
		if *events > 0 {
			ended := writeEvents(w, r, *events)
			out.Lock()
			fmt.Printf("end %d %s %s\n", time.Now().UnixNano(), r.Header.Get("Request-Id"), ended)
			out.Unlock()
			return
		}
		time.Sleep(workTime)
		header.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{\"from\":\""+*id+"\",\"pad\":\""+strings.Repeat("x", 700)+"\"}")
	}
	err := (&http.Server{Addr: *listen, Handler: http.HandlerFunc(handler)}).ListenAndServe()
	fmt.Fprintln(os.Stderr, err)
	return 1
}

// writeEvents writes the events of an answer and returns how it ended: whole, or broken if the caller has gone.
func writeEvents(w http.ResponseWriter, r *http.Request, events int) string {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for id := 1; id <= events; id++ {
		if r.Context().Err() != nil {
			return "broken"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", id, id, events); err != nil {
			return "broken"
		}
		_ = controller.Flush()
		time.Sleep(eventPause)
	}
	return "whole"
}

const (
	eventPause = 50 * time.Millisecond
	workTime   = 30 * time.Millisecond
	crashDelay = 20 * time.Millisecond
)
