package settings

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurelead/azurelead/platform"
)

// maxAcceptAttempts bounds the attempts of a change before its outcome is reported. An attempt
// fails if another operator's write wins or the store fails.
const maxAcceptAttempts = 24

// gcVersionInterval is the number of versions between garbage collections, which run as part of
// an accepted change.
const gcVersionInterval = 32

// AcceptState is the final state of a change.
type AcceptState string

// States of changes.
const (
	// Accepted means that the change is in the manifest and stays in force.
	Accepted AcceptState = "accepted"
	// Unchanged means that the settings already have the requested values; nothing was written.
	Unchanged AcceptState = "unchanged"
	// Conflicted means that other changes modified the same paths since the base version.
	Conflicted AcceptState = "conflict"
	// Rejected means that the changed document is not valid.
	Rejected AcceptState = "invalid"
	// NotAccepted means that the store could not be reached. The change is not in force anywhere
	// and never will be.
	NotAccepted AcceptState = "not_accepted"
	// OutcomeUnknown means that the write of the manifest was sent and its answer was lost.
	// Accept with the same change ID determines the outcome later.
	OutcomeUnknown AcceptState = "unknown"
)

// Conflict is a path that another change modified since the base version.
type Conflict struct {
	Path string `json:"path"`
	// Current is the value in force, Proposed the one that was rejected.
	Current  string `json:"current"`
	Proposed string `json:"wanted"`
}

// Outcome is the result of a change.
type Outcome struct {
	State AcceptState `json:"state"`
	// Version is the version that the change made if it was accepted, otherwise the version that
	// it was compared with.
	Version   Version    `json:"version"`
	ID        ChangeID   `json:"change_id"`
	Edits     []Edit     `json:"edits,omitempty"`
	Conflicts []Conflict `json:"clashes,omitempty"`
	// Err is the reason why the change was not accepted.
	Err error `json:"-"`
	// Tree is the accepted tree. Callers can announce it to agents even if the store fails right
	// after the acceptance. It is nil unless State is Accepted.
	Tree *StoredTree `json:"-"`
}

// EditFunc modifies a document, possibly in place, and returns the result.
type EditFunc func(Document) (Document, error)

// Accept brings a change into force. Base is the version that the edit is based on; 0 means the
// latest. Changes accepted since then are kept: an edit of other values is rebased on them, and
// an edit of the same values is rejected with the conflicting path. Calling Accept again with the
// same change ID never applies the change twice while the manifest's history holds it, and
// determines the outcome of a change that ended in OutcomeUnknown.
func Accept(ctx context.Context, store platform.Store, base Version, edit EditFunc, id ChangeID, author string) Outcome {
	a := acceptor{store: store, base: base, edit: edit, id: id, author: author}
	return a.run(ctx)
}

// Plan returns the outcome that Accept would have now, without writing.
func Plan(ctx context.Context, store platform.Store, base Version, edit EditFunc) Outcome {
	a := acceptor{store: store, base: base, edit: edit, dryRun: true}
	return a.run(ctx)
}

// acceptor runs the attempts of one change.
type acceptor struct {
	store  platform.Store
	base   Version
	edit   EditFunc
	id     ChangeID
	author string
	dryRun bool

	stored *StoredTree
	// unansweredVersion is the version that a write of the manifest whose answer was lost would
	// have made; 0 if there is none.
	unansweredVersion Version
}

func (a *acceptor) run(ctx context.Context) Outcome {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = 20*time.Millisecond, 2*time.Second
	var err error
	for range maxAcceptAttempts {
		var out Outcome
		if out, err = a.attempt(ctx); err == nil {
			out.ID = a.id
			return out
		}
		if !sleep(ctx, retry.NextBackOff()) {
			break
		}
	}
	if a.unansweredVersion > 0 {
		return Outcome{State: OutcomeUnknown, ID: a.id, Err: err}
	}
	return Outcome{State: NotAccepted, ID: a.id, Err: err}
}

// attempt makes one attempt with the manifest read now. An error means that another attempt may
// succeed.
func (a *acceptor) attempt(ctx context.Context) (Outcome, error) {
	s, err := Load(ctx, a.store, a.stored)
	if err != nil {
		return Outcome{}, err
	}
	a.stored = s
	if c, ok := s.Manifest.findChange(a.id); ok && !a.dryRun {
		return Outcome{State: Accepted, Version: c.Version, Tree: s}, nil
	}
	if a.unansweredVersion > 0 && !s.Manifest.historyCovers(a.unansweredVersion) {
		// The change has left the history, so its outcome can no longer be determined.
		return Outcome{State: OutcomeUnknown, Version: s.Manifest.Version, Err: Corrupt.New("change %s is older than the history", a.id)}, nil
	}
	if a.base == 0 {
		a.base = s.Manifest.Version
	}
	if a.base > s.Manifest.Version {
		return Outcome{}, platform.Unavailable.New("the store shows version %d, older than %d", s.Manifest.Version, a.base)
	}
	out, merged, err := a.merge(ctx, s)
	if err != nil || out.State != "" || a.dryRun {
		out.Version = s.Manifest.Version
		return a.markDryRun(out), err
	}
	return a.commit(ctx, s, out, merged)
}

// markDryRun sets the state of a dry run to Accepted if its change would be accepted.
func (a *acceptor) markDryRun(out Outcome) Outcome {
	if out.State == "" && a.dryRun {
		out.State = Accepted
	}
	return out
}

// merge applies the change to the version in force. The state of the outcome is empty if the
// merged document may be written.
func (a *acceptor) merge(ctx context.Context, s *StoredTree) (Outcome, Document, error) {
	base, err := s.DocumentAt(ctx, a.store, a.base)
	if Outdated.Has(err) {
		return Outcome{State: Conflicted, Err: err}, Document{}, nil
	}
	if err != nil {
		return Outcome{}, Document{}, err
	}
	edits, err := a.requestedEdits(base)
	if err != nil {
		return Outcome{State: Rejected, Err: err}, Document{}, nil
	}
	current, err := s.Document()
	if err != nil {
		return Outcome{State: Rejected, Err: err}, Document{}, nil
	}
	edits, conflicts := reconcile(edits, Diff(base, current))
	if len(conflicts) > 0 {
		return Outcome{State: Conflicted, Conflicts: conflicts, Err: Invalid.New("%s was changed since version %d", conflicts[0].Path, a.base)}, Document{}, nil
	}
	if len(edits) == 0 {
		return Outcome{State: Unchanged}, Document{}, nil
	}
	merged, err := applyEdits(current, edits)
	if err != nil {
		return Outcome{State: Rejected, Edits: edits, Err: err}, Document{}, nil
	}
	return Outcome{Edits: edits}, merged, nil
}

// requestedEdits returns the operator's edits relative to the base version.
func (a *acceptor) requestedEdits(base Document) ([]Edit, error) {
	edited, err := fromTree(toTree(base)) // a copy, as the edit may modify its argument
	if err != nil {
		return nil, err
	}
	if edited, err = a.edit(edited); err != nil {
		return nil, err
	}
	if err := Validate(edited); err != nil {
		return nil, err
	}
	return Diff(base, edited), nil
}

// reconcile drops the edits that others have already made with the same result, and returns the
// conflicts of the remaining ones with the edits of others.
func reconcile(mine, theirs []Edit) (remaining []Edit, conflicts []Conflict) {
	for _, edit := range mine {
		alreadyMade := false
		for _, other := range theirs {
			if edit.sameResult(other) {
				alreadyMade = true
			} else if edit.overlaps(other) {
				conflicts = append(conflicts, Conflict{Path: joinPath(other.Path), Current: valueOrAbsent(other.To), Proposed: valueOrAbsent(edit.To)})
			}
		}
		if !alreadyMade {
			remaining = append(remaining, edit)
		}
	}
	return remaining, conflicts
}

func applyEdits(d Document, edits []Edit) (Document, error) {
	tree := toTree(d).(map[string]any)
	for _, e := range edits {
		e.applyTo(tree)
	}
	merged, err := fromTree(tree)
	if err != nil {
		return Document{}, err
	}
	return merged, Validate(merged)
}

// commit writes the changed objects and then the manifest. The conditional update of the manifest
// accepts the change.
func (a *acceptor) commit(ctx context.Context, s *StoredTree, out Outcome, merged Document) (Outcome, error) {
	tree, err := a.writeObjects(ctx, s, merged)
	if err != nil {
		return Outcome{}, err
	}
	next := tree.Manifest
	tree.storeVersion, err = a.store.Put(ctx, ManifestKey, mustMarshal(next), s.storeVersion)
	if platform.Conflict.Has(err) || platform.RateLimited.Has(err) {
		return Outcome{}, err // the next attempt reads which write won; it may be this change's
	}
	if err != nil {
		a.unansweredVersion = max(a.unansweredVersion, next.Version) // the answer may be lost
		return Outcome{}, err
	}
	a.collectGarbage(ctx, tree)
	out.State, out.Version, out.Tree = Accepted, next.Version, tree
	return out, nil
}

// writeObjects writes the changed objects under keys of the next version, and returns the tree of
// that version, whose manifest refers to them.
func (a *acceptor) writeObjects(ctx context.Context, s *StoredTree, merged Document) (*StoredTree, error) {
	newValues, err := splitDocument(merged)
	if err != nil {
		return nil, err
	}
	changed := refs{}
	for n, value := range newValues {
		if bytes.Equal(value, s.values[n]) {
			continue
		}
		r := newRef(s.Manifest.Version+1, value)
		if err := createIfAbsent(ctx, a.store, objectKey(n, r), value); err != nil {
			return nil, err
		}
		changed[n] = r
	}
	for n := range s.Manifest.objects {
		if _, ok := newValues[n]; !ok {
			changed[n] = ""
		}
	}
	tree := &StoredTree{Manifest: s.Manifest.withChange(a.id, a.author, changed), values: newValues}
	m := tree.Manifest
	return tree, createIfAbsent(ctx, a.store, indexKey(m.Index), m.encodeIndex())
}

// createIfAbsent creates an object. Its key contains the digest of its content, so an existing
// object has the same content.
func createIfAbsent(ctx context.Context, store platform.Store, key string, value []byte) error {
	_, err := store.Put(ctx, key, value, 0)
	if platform.Conflict.Has(err) {
		return nil
	}
	return err
}

// collectGarbage deletes unreferenced objects every gcVersionInterval versions. Errors are
// ignored: a later change collects again.
func (a *acceptor) collectGarbage(ctx context.Context, tree *StoredTree) {
	if tree.Manifest.Version%gcVersionInterval == 0 {
		_, _ = CollectGarbage(ctx, a.store, tree)
	}
}
