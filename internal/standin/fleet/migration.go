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
	b := s.behavior
	s.mu.Unlock()
	defer b.Trouble.callsLate()()
	s.mu.Lock()
	active := s.runs[body.ID]
	s.mu.Unlock()
	if active == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := "h-" + body.ID
	if body.Final {
		active.abort()
		s.addCopy(handle, body.ID, "")
	}
	target := s.serverAt(body.To)
	if target == nil || target.stopped.Load() || rand.Float64() < b.Trouble.RejectShare {
		w.WriteHeader(http.StatusServiceUnavailable)
		if body.Final {
			fmt.Fprintf(w, `{"kvHandle":%q}`, handle)
		}
		b.Trouble.AnswersAgain.send(r, http.StatusServiceUnavailable, "", "")
		return
	}
	defer b.Trouble.AnswersAgain.send(r, http.StatusMisdirectedRequest, "", "")
	s.mu.Lock()
	isRenewal := s.holders[handle] != ""
	s.mu.Unlock()
	if !isRenewal {
		time.Sleep(b.CopyTime)
	}
	s.addCopy(handle, body.ID, body.To)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kvHandle":%q,"createdRevision":%d}`, handle, active.lastEvent.Load())
}

// addCopy records that a copy of a run can be used under a handle, at the server with the address holder if that is not
// empty. The server that made the copy can use it once it has stopped the run.
func (s *Server) addCopy(handle, id, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[handle] = id
	if holder != "" {
		s.holders[handle] = holder
	}
}

// canUseCopy reports whether the server with an address can use the copy under a handle. mu must be held.
func (s *Server) canUseCopy(handle, id, address string) bool {
	if s.copies[handle] != id {
		return false
	}
	if s.standbys[handle] {
		return address == s.Address
	}
	return address == s.holders[handle] || address == s.Address && s.runs[id].isOver()
}

// handleDeleteCopy frees a copy that was made by a migration. For a standby copy it responds the
// same, and the copy stays.
func (s *Server) handleDeleteCopy(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if handle := r.PathValue("handle"); !s.standbys[handle] {
		delete(s.copies, handle)
		delete(s.holders, handle)
	}
}
