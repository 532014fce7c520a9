package enginesim

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

const maxBodySize = 8 << 20 // bytes

// Handler serves the engine in the adapter's wire form.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginehttp.PathGenerate, e.serveGenerate)
	mux.HandleFunc("GET "+enginehttp.PathResume, e.serveResume)
	mux.HandleFunc("POST "+enginehttp.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+enginehttp.PathLoad, e.serveLoad)
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
	if _, _, ok := e.read(id, from); err != nil || !ok {
		refuse(w, upstream.ReasonNoStream)
		return
	}
	e.stream(w, r, id, from)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.Cancel(r.FormValue(enginehttp.ParamStream))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := upstream.LoadReport{At: time.Now()}
	for _, s := range e.streams {
		if !s.done {
			report.Running++
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

// stream writes tokens as they come until the answer or the request ends.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, from int) {
	flusher, _ := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		lines, changed, ok := e.read(id, from)
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
		case <-r.Context().Done():
			return
		}
	}
}

func refuse(w http.ResponseWriter, reason upstream.Reason) {
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(enginehttp.ErrorBody{Reason: reason})
}
