// Package soak holds a randomized soak test of the entry hosts that forward requests. It runs the
// real programs as separate processes on loopback with stand-ins for the platform's store and the
// upstreams, induces faults from outside, and checks what callers and upstreams observe.
//
//	go test ./soak -soak.seeds 50 -soak.storm 8s -parallel 6
//	go test ./soak -soak.seed 17
//	go test -race ./soak -run 'RestoredStore' -soak.first 1 -soak.seeds 20 -parallel 2
package soak
