package entry

import (
	"encoding/hex"
	"math/rand/v2"
	"slices"

	"kingcupplank.example/kingcup/failure"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// maxName bounds names and keys in bytes.
const maxName = 256

// defaultPromptBytes bounds a prompt where the model sets no bound.
const defaultPromptBytes = 1 << 20

func (e *Entry) checkGenerate(req *kingcupv1.GenerateRequest) error {
	if err := checkID(req.GetRequestId(), req.GetNonIdempotent()); err != nil {
		return err
	}
	model, err := e.checkTeam(req.GetTeam(), req.GetModel(), kingcupv1.ModelKind_MODEL_KIND_GENERATION)
	if err != nil {
		return err
	}
	bound := int(model.GetMaxPromptBytes())
	if bound == 0 {
		bound = defaultPromptBytes
	}
	if len(req.GetPrompt()) > bound {
		return failure.NotRun(kingcupv1.Reason_REASON_PROMPT_TOO_LARGE, 0, "prompt has %d bytes, model %s takes %d", len(req.GetPrompt()), model.GetName(), bound)
	}
	if most := model.GetMaxTokens(); most > 0 && (req.GetMaxTokens() == 0 || req.GetMaxTokens() > most) {
		req.MaxTokens = most
	}
	if name := req.GetAdapter(); name != "" {
		a := e.sync.Replica().State().Adapter(name)
		if a.GetModel() != req.GetModel() {
			return failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "model %q has no adapter %q", req.GetModel(), name)
		}
	}
	return nil
}

func checkID(id string, needed bool) error {
	if needed && id == "" {
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "a non-idempotent request needs a request_id")
	}
	if len(id) > maxName {
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "request_id has %d bytes, at most %d are taken", len(id), maxName)
	}
	return nil
}

// checkTeam returns the model or service if the team may use it.
func (e *Entry) checkTeam(teamName, modelName string, kind kingcupv1.ModelKind) (*kingcupv1.Model, error) {
	state := e.sync.Replica().State()
	team := state.Team(teamName)
	if team == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_TEAM, 0, "no team %q", teamName)
	}
	model := state.Model(modelName)
	if model == nil || model.GetKind() != kind {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "no such model or service %q", modelName)
	}
	if !slices.Contains(team.GetModels(), modelName) {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_NOT_ALLOWED, 0, "team %q may not use %q", teamName, modelName)
	}
	return model, nil
}

const idBytes = 16

// newID returns an identifier that no other process makes.
func newID() string {
	var b [idBytes]byte
	for i := 0; i < len(b); i += 8 {
		v := rand.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return hex.EncodeToString(b[:])
}
