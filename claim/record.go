package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/azurelead/azurelead/contract"
)

// maxVoid bounds the given-up attempts that one record remembers. Forgetting
// one can leave a claim held by nobody, never granted twice.
const maxVoid = 8

// ID identifies a key of an organisation. It is a digest, so that the store
// holds no caller's key in clear and records stay small.
type ID [16]byte

// NewID returns the identity of an organisation's key.
func NewID(organisation, key string) ID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(organisation)))
	h.Write(n[:])
	h.Write([]byte(organisation))
	h.Write([]byte(key))
	return ID(h.Sum(nil)[:16])
}

// Shard returns which of n shards the identity belongs to.
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

// Record is what the store holds of one key. A later record of the same key
// supersedes the earlier ones.
type Record struct {
	ID          ID     `json:"id"`
	Fingerprint string `json:"fp,omitempty"`
	// Attempt holds the claim; empty when the claim is free.
	Attempt    contract.AttemptID `json:"a,omitempty"`
	Candidates []Candidate        `json:"c,omitempty"`
	Outcome    *Outcome           `json:"o,omitempty"`
	// AbandonedAttempts lists attempts that were given up and may not be granted any more.
	AbandonedAttempts []contract.AttemptID `json:"v,omitempty"`
}

func (r *Record) held() bool     { return r.Attempt != "" && r.Outcome == nil }
func (r *Record) finished() bool { return r.Outcome != nil }

// transition is the effect of one operation on a record.
type transition struct {
	next    Record
	changed bool
	// confirm asks for a conditional update although the record stays as it
	// is, because a wrong answer from a stale read would lose an outcome.
	confirm  bool
	decision Decision
	err      error
}

// acquire decides a request for a claim. A grant is always a change, also to
// an attempt that holds the claim already: only a conditional update that
// succeeded proves that the record read was not stale.
func (r Record) acquire(q Request) transition {
	switch {
	case slices.Contains(r.AbandonedAttempts, q.Attempt):
		return transition{next: r, err: Abandoned.New("attempt %s was given up", q.Attempt)}
	case (r.held() || r.finished()) && r.Fingerprint != q.Fingerprint:
		return transition{next: r, decision: Decision{State: KeyReused, Attempt: r.Attempt}}
	case r.finished():
		return transition{next: r, decision: Decision{State: Finished, Attempt: r.Attempt, Outcome: r.Outcome}}
	case r.held() && r.Attempt != q.Attempt:
		return transition{next: r, decision: Decision{State: Held, Attempt: r.Attempt, Candidates: r.Candidates}}
	}
	next := Record{ID: r.ID, Fingerprint: q.Fingerprint, Attempt: q.Attempt, Candidates: q.Candidates, AbandonedAttempts: r.AbandonedAttempts}
	d := Decision{State: Granted, Attempt: q.Attempt, Candidates: q.Candidates}
	return transition{next: next, changed: true, decision: d}
}

// finish records an outcome. The first outcome stands; the same attempt may
// report again without effect.
func (r Record) finish(q Request, o Outcome) transition {
	switch {
	case r.Attempt != q.Attempt:
		return transition{next: r, confirm: true, err: NotHolder.New("attempt %s does not hold the claim", q.Attempt)}
	case r.finished():
		return transition{next: r}
	}
	next := r
	next.Outcome = &o
	next.Candidates = nil
	return transition{next: next, changed: true}
}

// release frees the claim that the attempt holds, and makes sure that a
// delayed request of the attempt is not granted afterwards.
func (r Record) release(q Request) transition {
	if r.finished() || slices.Contains(r.AbandonedAttempts, q.Attempt) {
		return transition{next: r}
	}
	next := r
	next.AbandonedAttempts = append(slices.Clone(r.AbandonedAttempts), q.Attempt)
	if len(next.AbandonedAttempts) > maxVoid {
		next.AbandonedAttempts = next.AbandonedAttempts[len(next.AbandonedAttempts)-maxVoid:]
	}
	if r.Attempt == q.Attempt {
		next.Attempt, next.Fingerprint, next.Candidates = "", "", nil
	}
	return transition{next: next, changed: true}
}

// bounded returns the outcome with its body left out when it exceeds limit.
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
		panic(err) // every encoded type marshals; a raw body was checked on entry
	}
	return b
}
