package settings

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/azurelead/azurelead/platform"
)

// maxAcceptAttempts bounds how often one change is tried against rivals and a
// failing store before its outcome is reported.
const maxAcceptAttempts = 24

// gcVersionInterval is after how many versions an accepted change also collects
// objects that nobody refers to.
const gcVersionInterval = 32

// AcceptState is how a change ended.
type AcceptState string

// The states of changes.
const (
	// Accepted: the change is in the manifest and stays in force.
	Accepted AcceptState = "accepted"
	// Unchanged: the settings already are as wanted; nothing was written.
	Unchanged AcceptState = "unchanged"
	// Conflicted: others changed the same paths since the base version.
	Conflicted AcceptState = "conflict"
	// Rejected: the change does not make a valid document.
	Rejected AcceptState = "invalid"
	// NotAccepted: the store could not be reached, and the change is in force
	// nowhere and never will be.
	NotAccepted AcceptState = "not_accepted"
	// OutcomeUnknown: the accepting write was sent and its answer lost. The same
	// change id settles it later.
	OutcomeUnknown AcceptState = "unknown"
)

// Conflict is a path that others changed since the base version.
type Conflict struct {
	Path string `json:"path"`
	// Current is the value in force, Wanted the one that was refused.
	Current  string `json:"current"`
	Proposed string `json:"wanted"`
}

// Outcome is how a change ended.
type Outcome struct {
	State AcceptState `json:"state"`
	// Version is the change's version if it was accepted, otherwise the
	// version that it was compared with.
	Version   Version    `json:"version"`
	ID        ChangeID   `json:"change_id"`
	Edits     []Edit     `json:"edits,omitempty"`
	Conflicts []Conflict `json:"clashes,omitempty"`
	// Err says why, unless the change was accepted.
	Err error `json:"-"`
	// Tree is the tree as accepted, so that it can be passed on when the store
	// is gone right after the acceptance. It is nil unless State is Accepted.
	Tree *StoredTree `json:"-"`
}

// EditFunc changes a document that it may modify, and returns it.
type EditFunc func(Document) (Document, error)

// Accept brings a change into force. Base is the version that the edit was
// made against; 0 means the latest. Changes of others since then are kept: an
// edit of other values is rebased, one of the same values is refused with the
// path. Calling Accept again with the same change id never applies the change
// twice while the manifest remembers it, and settles an Unsettled one.
func Accept(ctx context.Context, store platform.Store, base Version, edit EditFunc, id ChangeID, author string) Outcome {
	a := acceptor{store: store, base: base, edit: edit, id: id, author: author}
	return a.run(ctx)
}

// Plan returns what Accept would do now, without writing.
func Plan(ctx context.Context, store platform.Store, base Version, edit EditFunc) Outcome {
	a := acceptor{store: store, base: base, edit: edit, dryRun: true}
	return a.run(ctx)
}

// acceptor brings one change into force.
type acceptor struct {
	store  platform.Store
	base   Version
	edit   EditFunc
	id     ChangeID
	author string
	dryRun bool

	stored *StoredTree
	// unansweredVersion is the version that an accepting write without an answer would
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

// attempt runs one round against the manifest as read now. An error means that
// another round may help.
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
		// The history no longer tells whether the lost answer was a yes.
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

// markDryRun marks a change that would be accepted.
func (a *acceptor) markDryRun(out Outcome) Outcome {
	if out.State == "" && a.dryRun {
		out.State = Accepted
	}
	return out
}

// merge applies the change to the version in force. The outcome's state is
// empty if the merged document may be written.
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

// requestedEdits returns the edits that the operator asks for.
func (a *acceptor) requestedEdits(base Document) ([]Edit, error) {
	mine, err := fromTree(toTree(base)) // the edit may modify its argument
	if err != nil {
		return nil, err
	}
	if mine, err = a.edit(mine); err != nil {
		return nil, err
	}
	if err := Validate(mine); err != nil {
		return nil, err
	}
	return Diff(base, mine), nil
}

// reconcile drops the edits that others already made alike, and returns those
// that clash with what others made.
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

// commit stores the changed objects and then the manifest, whose conditional
// update is the acceptance.
func (a *acceptor) commit(ctx context.Context, s *StoredTree, out Outcome, merged Document) (Outcome, error) {
	tree, err := a.writeObjects(ctx, s, merged)
	if err != nil {
		return Outcome{}, err
	}
	next := tree.Manifest
	tree.storeVersion, err = a.store.Put(ctx, ManifestKey, mustMarshal(next), s.storeVersion)
	if platform.Conflict.Has(err) || platform.RateLimited.Has(err) {
		return Outcome{}, err // the next round reads who won, which may be this change
	}
	if err != nil {
		a.unansweredVersion = max(a.unansweredVersion, next.Version) // its answer may be lost
		return Outcome{}, err
	}
	a.collectGarbage(ctx, tree)
	out.State, out.Version, out.Tree = Accepted, next.Version, tree
	return out, nil
}

// writeObjects stores what changed under keys of the version to be, and
// returns the tree to be, whose manifest refers to it.
func (a *acceptor) writeObjects(ctx context.Context, s *StoredTree, merged Document) (*StoredTree, error) {
	values, err := splitDocument(merged)
	if err != nil {
		return nil, err
	}
	changed := refs{}
	for n, value := range values {
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
		if _, ok := values[n]; !ok {
			changed[n] = ""
		}
	}
	tree := &StoredTree{Manifest: s.Manifest.withChange(a.id, a.author, changed), values: values}
	m := tree.Manifest
	return tree, createIfAbsent(ctx, a.store, indexKey(m.Index), m.encodeIndex())
}

// createIfAbsent creates an object whose key names its content. One that exists is
// the same one.
func createIfAbsent(ctx context.Context, store platform.Store, key string, value []byte) error {
	_, err := store.Put(ctx, key, value, 0)
	if platform.Conflict.Has(err) {
		return nil
	}
	return err
}

// collectGarbage now and then removes what nobody refers to. Its failure is left to
// the next change.
func (a *acceptor) collectGarbage(ctx context.Context, tree *StoredTree) {
	if tree.Manifest.Version%gcVersionInterval == 0 {
		_, _ = CollectGarbage(ctx, a.store, tree)
	}
}
