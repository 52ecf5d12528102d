package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// move copies the memory of a run to another engine. The copy is noted at the
// source, under its handle; a second call for the same run renews it.
func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID    string `json:"id"`
		To    string `json:"to"`
		Final bool   `json:"final"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	u, b := s.runs[call.ID], s.behave
	s.mu.Unlock()
	if u == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	to := s.peers(call.To)
	if to == nil || to.stopped.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if call.Final {
		u.halt()
	}
	handle := "h-" + call.ID
	s.mu.Lock()
	_, renewed := s.copies[handle]
	s.mu.Unlock()
	if !renewed {
		time.Sleep(b.CopyTime)
	}
	s.mu.Lock()
	s.copies[handle] = call.ID
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kvHandle":%q,"createdRevision":%d}`, handle, u.last.Load())
}

func (s *Server) dropHandle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, r.PathValue("handle"))
}
