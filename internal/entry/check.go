package entry

import (
	"encoding/hex"
	"math/rand/v2"
	"slices"

	"kingcupplank.example/kingcup/failure"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// maxRequestIDBytes bounds a request_id.
const maxRequestIDBytes = 256

// defaultMaxPromptBytes bounds a prompt if its model sets no bound.
const defaultMaxPromptBytes = 1 << 20

// checkGenerate validates a generation request and limits its max_tokens to the
// model's bound.
func (e *Entry) checkGenerate(req *kingcupv1.GenerateRequest) error {
	if err := checkRequestID(req.GetRequestId(), req.GetNonIdempotent()); err != nil {
		return err
	}
	model, err := e.authorizeModel(req.GetTeam(), req.GetModel(), kingcupv1.ModelKind_MODEL_KIND_GENERATION)
	if err != nil {
		return err
	}
	maxPromptBytes := int(model.GetMaxPromptBytes())
	if maxPromptBytes == 0 {
		maxPromptBytes = defaultMaxPromptBytes
	}
	if len(req.GetPrompt()) > maxPromptBytes {
		return failure.NotRun(kingcupv1.Reason_REASON_PROMPT_TOO_LARGE, 0, "prompt has %d bytes, model %s takes %d", len(req.GetPrompt()), model.GetName(), maxPromptBytes)
	}
	if maxTokens := model.GetMaxTokens(); maxTokens > 0 && (req.GetMaxTokens() == 0 || req.GetMaxTokens() > maxTokens) {
		req.MaxTokens = maxTokens
	}
	if name := req.GetAdapter(); name != "" {
		adapter := e.sync.Replica().State().Adapter(name)
		if adapter.GetModel() != req.GetModel() {
			return failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "model %q has no adapter %q", req.GetModel(), name)
		}
	}
	return nil
}

func checkRequestID(id string, isRequired bool) error {
	if isRequired && id == "" {
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "a non-idempotent request needs a request_id")
	}
	if len(id) > maxRequestIDBytes {
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "request_id has %d bytes, at most %d are taken", len(id), maxRequestIDBytes)
	}
	return nil
}

// authorizeModel returns the model or service if it exists with that kind and
// the team may use it.
func (e *Entry) authorizeModel(teamName, modelName string, kind kingcupv1.ModelKind) (*kingcupv1.Model, error) {
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

// newID returns a random identifier of 128 bits, unique across processes.
func newID() string {
	var b [idBytes]byte
	for i := 0; i < len(b); i += 8 {
		v := rand.Uint64()
		for j := range 8 {
			b[i+j] = byte(v >> (8 * j))
		}
	}
	return hex.EncodeToString(b[:])
}
