package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/azurelead/azurelead/contract"
)

// maxAbandonedAttempts is the largest number of abandoned attempts in one record.
// Dropping an older one can leave a claim held by an attempt that was abandoned, but
// never grants a claim twice.
const maxAbandonedAttempts = 8

// ID identifies a key of an organisation. It is a digest, so that the store does not
// hold callers' keys in plain text and records stay small.
type ID [16]byte

// NewID returns the ID of an organisation's key.
func NewID(organisation, key string) ID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(organisation)))
	h.Write(n[:])
	h.Write([]byte(organisation))
	h.Write([]byte(key))
	return ID(h.Sum(nil)[:16])
}

// Shard returns the number of the shard, from 0 to n-1, that the ID belongs to.
func (id ID) Shard(n int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(n))
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, id[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(b []byte) error {
	var buf [16]byte
	if base64.RawURLEncoding.DecodedLen(len(b)) != len(buf) {
		return Error.New("identity of %d characters", len(b))
	}
	_, err := base64.RawURLEncoding.Decode(buf[:], b)
	*id = ID(buf)
	return err
}

// Record is the stored state of one key. A later record of a key supersedes the
// earlier ones.
type Record struct {
	ID          ID     `json:"id"`
	Fingerprint string `json:"fp,omitempty"`
	// Attempt is the attempt that holds the claim. It is empty if the claim is free.
	Attempt    contract.AttemptID `json:"a,omitempty"`
	Candidates []Candidate        `json:"c,omitempty"`
	Outcome    *Outcome           `json:"o,omitempty"`
	// AbandonedAttempts lists attempts that must not be granted the claim any more.
	AbandonedAttempts []contract.AttemptID `json:"v,omitempty"`
}

func (r *Record) held() bool     { return r.Attempt != "" && r.Outcome == nil }
func (r *Record) finished() bool { return r.Outcome != nil }

// transition is the effect of one operation on a record.
type transition struct {
	next    Record
	changed bool
	// mustConfirm requires a conditional update although the record is unchanged,
	// because a wrong answer from a stale read would lose an outcome.
	mustConfirm bool
	decision    Decision
	err         error
}

// acquire returns the effect of a request for the claim. A grant always counts as a
// change, even if the attempt holds the claim already, since only a successful
// conditional update proves that the record was not stale.
func (r Record) acquire(req Request) transition {
	switch {
	case slices.Contains(r.AbandonedAttempts, req.Attempt):
		return transition{next: r, err: Abandoned.New("attempt %s was given up", req.Attempt)}
	case (r.held() || r.finished()) && r.Fingerprint != req.Fingerprint:
		return transition{next: r, decision: Decision{State: KeyReused, Attempt: r.Attempt}}
	case r.finished():
		return transition{next: r, decision: Decision{State: Finished, Attempt: r.Attempt, Outcome: r.Outcome}}
	case r.held() && r.Attempt != req.Attempt:
		return transition{next: r, decision: Decision{State: Held, Attempt: r.Attempt, Candidates: r.Candidates}}
	}
	next := Record{ID: r.ID, Fingerprint: req.Fingerprint, Attempt: req.Attempt, Candidates: req.Candidates, AbandonedAttempts: r.AbandonedAttempts}
	d := Decision{State: Granted, Attempt: req.Attempt, Candidates: req.Candidates}
	return transition{next: next, changed: true, decision: d}
}

// finish records an outcome. The first outcome is kept: another report of the same
// attempt has no effect.
func (r Record) finish(req Request, o Outcome) transition {
	switch {
	case r.Attempt != req.Attempt:
		return transition{next: r, mustConfirm: true, err: NotHolder.New("attempt %s does not hold the claim", req.Attempt)}
	case r.finished():
		return transition{next: r}
	}
	next := r
	next.Outcome = &o
	next.Candidates = nil
	return transition{next: next, changed: true}
}

// release frees the claim if the attempt holds it, and marks the attempt as abandoned
// so that a delayed request of the attempt is not granted afterwards.
func (r Record) release(req Request) transition {
	if r.finished() || slices.Contains(r.AbandonedAttempts, req.Attempt) {
		return transition{next: r}
	}
	next := r
	next.AbandonedAttempts = append(slices.Clone(r.AbandonedAttempts), req.Attempt)
	if len(next.AbandonedAttempts) > maxAbandonedAttempts {
		next.AbandonedAttempts = next.AbandonedAttempts[len(next.AbandonedAttempts)-maxAbandonedAttempts:]
	}
	if r.Attempt == req.Attempt {
		next.Attempt, next.Fingerprint, next.Candidates = "", "", nil
	}
	return transition{next: next, changed: true}
}

// bounded returns the outcome unchanged if its body has at most limit bytes. Otherwise
// it returns an outcome without a body that says that the response was too large.
func (o Outcome) bounded(limit int) Outcome {
	if len(o.Body) <= limit {
		return o
	}
	return Outcome{
		Run:    o.Run,
		Code:   contract.CodeOutcomeUnknown,
		Detail: "the answer was too large to keep for a repeat",
	}
}

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all encoded types can be marshalled, and raw bodies are validated on entry
	}
	return b
}
