// Package forward serves callers' requests by passing them on to upstreams
// unchanged: any method, path, headers and body, and the upstream's answer
// byte for byte.
//
// A request goes through identify, admit, choose, send, relay and account. Each
// step is a method in a file of its own; what they share is the exchange. The
// names of headers are a Codec's, the choice of an upstream is package
// routing's, the limits are those of packages admission and retry.
package forward
