package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/settings"
)

// tokenIndex maps the digests of bearer tokens to organisations.
type tokenIndex struct {
	snapshot *settings.Snapshot
	orgs     map[string]string
}

// authenticator caches the token index of the latest snapshot.
type authenticator struct{ index atomic.Pointer[tokenIndex] }

// organisation returns the organisation whose bearer token the request carries.
// Tokens are looked up by digest, so the duration of a lookup reveals nothing about
// a token.
func (a *authenticator) organisation(s *settings.Snapshot, h http.Header) (string, *contract.Problem) {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", contract.NewProblem(contract.CodeUnauthenticated, contract.NotRun, "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	org, ok := a.indexFor(s).orgs[hex.EncodeToString(sum[:])]
	if !ok {
		return "", contract.NewProblem(contract.CodeUnauthenticated, contract.NotRun, "the bearer token is not known")
	}
	return org, nil
}

func (a *authenticator) indexFor(s *settings.Snapshot) *tokenIndex {
	if idx := a.index.Load(); idx != nil && idx.snapshot == s {
		return idx
	}
	idx := &tokenIndex{snapshot: s, orgs: make(map[string]string)}
	for name, o := range s.Document.Organisations {
		for _, digest := range o.TokenSHA256 {
			idx.orgs[strings.ToLower(digest)] = name
		}
	}
	a.index.Store(idx)
	return idx
}
