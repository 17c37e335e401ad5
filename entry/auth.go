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

// tokenIndex finds the organisation of a bearer token's digest.
type tokenIndex struct {
	snapshot *settings.Snapshot
	orgs     map[string]string
}

// authenticator keeps the index of the snapshot that it saw last.
type authenticator struct{ index atomic.Pointer[tokenIndex] }

// organisation returns the organisation whose token the request bears. Tokens
// are compared by digest, so the time of a lookup tells nothing of a token.
func (a *authenticator) organisation(s *settings.Snapshot, h http.Header) (string, *contract.Problem) {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", contract.NewProblem(contract.CodeUnauthenticated, contract.NotRun, "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	org, ok := a.indexOf(s).orgs[hex.EncodeToString(sum[:])]
	if !ok {
		return "", contract.NewProblem(contract.CodeUnauthenticated, contract.NotRun, "the bearer token is not known")
	}
	return org, nil
}

func (a *authenticator) indexOf(s *settings.Snapshot) *tokenIndex {
	if i := a.index.Load(); i != nil && i.snapshot == s {
		return i
	}
	i := &tokenIndex{snapshot: s, orgs: make(map[string]string)}
	for name, o := range s.Document.Organisations {
		for _, digest := range o.TokenSHA256 {
			i.orgs[strings.ToLower(digest)] = name
		}
	}
	a.index.Store(i)
	return i
}
