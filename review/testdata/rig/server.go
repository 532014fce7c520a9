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
		time.Sleep(workTime)
		header.Set("Response-Seal", "seal-"+*id)
		header.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{\"from\":\""+*id+"\",\"pad\":\""+strings.Repeat("x", 700)+"\"}")
	}
	err := (&http.Server{Addr: *listen, Handler: http.HandlerFunc(handler)}).ListenAndServe()
	fmt.Fprintln(os.Stderr, err)
	return 1
}

const (
	workTime   = 30 * time.Millisecond
	crashDelay = 20 * time.Millisecond
)
