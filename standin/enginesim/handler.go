package enginesim

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

// maxBodySize limits a request body, in bytes.
const maxBodySize = 64 << 20

// PathControl accepts a Control and PathStats serves Stats. Both paths are for tests only.
const (
	PathControl = "/standin/control"
	PathStats   = "/standin/stats"
)

// Handler returns a handler that serves the engine in the wire format of package
// enginehttp, and the test paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginehttp.PathGenerate, e.serveGenerate)
	mux.HandleFunc("GET "+enginehttp.PathResume, e.serveResume)
	mux.HandleFunc("POST "+enginehttp.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+enginehttp.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+enginehttp.PathExport, e.serveExport)
	mux.HandleFunc("POST "+enginehttp.PathImport, e.serveImport)
	mux.HandleFunc("GET "+enginehttp.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+enginehttp.PathOrder, e.serveOrder)
	mux.HandleFunc("GET "+PathOrders, e.serveOrders)
	mux.HandleFunc("POST "+PathControl, e.serveControl)
	mux.HandleFunc("GET "+PathStats, e.serveStats)
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body enginehttp.GenerateBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&body); err != nil {
		refuse(w, upstream.ReasonRefused)
		return
	}
	if reason := e.Start(body); reason != "" {
		refuse(w, reason)
		return
	}
	e.stream(w, r, body.StreamID, body.PriorTokens)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue(enginehttp.ParamFrom))
	id := r.FormValue(enginehttp.ParamStream)
	if _, _, _, ok := e.read(id, from); err != nil || !ok {
		refuse(w, upstream.ReasonNoStream)
		return
	}
	e.mu.Lock()
	e.stats.Resumed++
	e.mu.Unlock()
	e.stream(w, r, id, from)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.Cancel(r.FormValue(enginehttp.ParamStream))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	report := e.load()
	report.Serving = e.Orders().Serving
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	data, reason := e.Export(r.FormValue(enginehttp.ParamStream))
	if reason != "" {
		refuse(w, reason)
		return
	}
	_, _ = w.Write(data)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		refuse(w, upstream.ReasonRefused)
		return
	}
	if reason := e.Import(r.URL.Query().Get(enginehttp.ParamStream), data); reason != "" {
		refuse(w, reason)
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue(enginehttp.ParamAfter), 10, 64)
	e.mu.Lock()
	events := e.cache.after(after, e.options.EventLag)
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events)
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Control(control)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Stats())
}

// stream writes tokens as they are generated until the answer is complete or the caller
// disconnects. It aborts the connection if the attempt is cancelled or a test breaks it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, from int) {
	flusher, _ := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		lines, changed, broken, ok := e.read(id, from)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for _, line := range lines {
			if encoder.Encode(line) != nil || line.Done {
				return
			}
			from = line.Index + 1
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// refuse writes an error body with the reason and status 409.
func refuse(w http.ResponseWriter, reason upstream.Reason) {
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(enginehttp.ErrorBody{Reason: reason})
}
