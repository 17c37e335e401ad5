package settings

import (
	"context"
	"encoding/json"

	"github.com/azurelead/azurelead/platform"
)

// maxSingleGets is the maximum number of objects to read with one call each. Beyond it, a single
// listing is cheaper for the store.
const maxSingleGets = 16

// readManifest returns the manifest and the version that the store gave to it. Without a manifest
// in the store, both versions are 0.
func readManifest(ctx context.Context, store platform.Store) (Manifest, uint64, error) {
	o, err := store.Get(ctx, ManifestKey)
	if platform.NotFound.Has(err) {
		return Manifest{}, 0, nil
	}
	if err != nil {
		return Manifest{}, 0, err
	}
	m, err := decodeManifest(o.Value)
	return m, o.Version, err
}

// loadObjectRefs sets the manifest's object references: from the references held at heldVersion
// and the changes since then if the history reaches back that far, otherwise from the index.
func (m *Manifest) loadObjectRefs(ctx context.Context, store platform.Store, heldVersion Version, heldRefs refs) error {
	if m.Version == 0 {
		m.objects = refs{}
		return nil
	}
	var ok bool
	if heldVersion > 0 {
		if m.objects, ok = m.advanceRefs(heldVersion, heldRefs); ok {
			return nil
		}
	}
	raw, err := fetchValue(ctx, store, nil, indexKey(m.Index), m.Index)
	if err != nil {
		return err
	}
	if m.objects, err = decodeIndex(raw); err != nil {
		return err
	}
	if m.objects.rootDigest(m.Version) != m.Root {
		return Corrupt.New("index of version %d does not fit its digest", m.Version)
	}
	return nil
}

func decodeIndex(raw json.RawMessage) (refs, error) {
	var r refs
	err := decodeStrict(raw, &r)
	return r, err
}

// fetchValues returns the values of objects. It takes those with an unchanged reference in
// heldRefs from heldValues and reads the others. An error of class platform.NotFound means that
// an object was garbage collected in the meantime: the manifest is outdated and has to be read
// again.
func fetchValues(ctx context.Context, store platform.Store, objects, heldRefs refs, heldValues objectValues) (objectValues, error) {
	values := objectValues{}
	var missing []ObjectName
	for n, r := range objects {
		if heldRefs[n] == r {
			values[n] = heldValues[n]
			continue
		}
		missing = append(missing, n)
	}
	var listed map[string]platform.Object
	if len(missing) > maxSingleGets {
		var err error
		if listed, err = listObjects(ctx, store); err != nil {
			return nil, err
		}
	}
	for _, n := range missing {
		value, err := fetchValue(ctx, store, listed, objectKey(n, objects[n]), objects[n])
		if err != nil {
			return nil, err
		}
		values[n] = value
	}
	return values, nil
}

func listObjects(ctx context.Context, store platform.Store) (map[string]platform.Object, error) {
	all, err := store.List(ctx, objectsPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]platform.Object, len(all))
	for _, o := range all {
		out[o.Key] = o
	}
	return out, nil
}

func fetchValue(ctx context.Context, store platform.Store, listed map[string]platform.Object, key string, r Ref) ([]byte, error) {
	o, ok := listed[key]
	if !ok {
		var err error
		if o, err = store.Get(ctx, key); err != nil {
			return nil, err
		}
	}
	if !r.matches(o.Value) {
		return nil, Corrupt.New("stored object %s does not fit its digest", key)
	}
	return o.Value, nil
}
