package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// handleMigration copies the KV cache of a run to another engine. The source records the
// copy under its handle. A second call for the same run renews the copy.
func (s *Server) handleMigration(w http.ResponseWriter, r *http.Request) {
	connOf(r).sendLate()
	var body struct {
		ID    string `json:"id"`
		To    string `json:"to"`
		Final bool   `json:"final"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	active, b := s.runs[body.ID], s.behavior
	s.mu.Unlock()
	if active == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if body.Final {
		active.abort()
	}
	target := s.serverAt(body.To)
	if target == nil || target.stopped.Load() || rand.Float64() < b.Trouble.RejectShare {
		w.WriteHeader(http.StatusServiceUnavailable)
		b.Trouble.AnswersAgain.send(r, http.StatusServiceUnavailable, "", "")
		return
	}
	defer b.Trouble.AnswersAgain.send(r, http.StatusMisdirectedRequest, "", "")
	handle := "h-" + body.ID
	s.mu.Lock()
	_, isRenewal := s.copies[handle]
	s.mu.Unlock()
	if !isRenewal {
		time.Sleep(b.CopyTime)
	}
	s.mu.Lock()
	s.copies[handle] = body.ID
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kvHandle":%q,"createdRevision":%d}`, handle, active.lastEvent.Load())
}

// handleDeleteCopy frees a copy that was made by a migration. For a standby copy it responds the
// same, and the copy stays.
func (s *Server) handleDeleteCopy(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if handle := r.PathValue("handle"); !s.standbys[handle] {
		delete(s.copies, handle)
	}
}
