package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"sync"

	"github.com/azurelead/azurelead/contract"
)

// tokenIndex maps bearer tokens to organisations. Digests are grouped by their first 8 bytes and
// compared in constant time within a group.
type tokenIndex struct {
	once     sync.Once
	byPrefix map[uint64][]tokenEntry
}

type tokenEntry struct {
	digest       [sha256.Size]byte
	organisation string
}

// Pipeline returns the pipeline with the given name if both the organisation and the pipeline are
// declared.
func (s *Snapshot) Pipeline(organisation, name string) (Pipeline, bool) {
	if _, ok := s.Document.Organisations[organisation]; !ok {
		return Pipeline{}, false
	}
	p, ok := s.Document.Pipelines[name]
	return p, ok
}

// OrganisationByToken returns the name of the organisation that a bearer token belongs to.
func (s *Snapshot) OrganisationByToken(bearerToken string) (string, bool) {
	s.tokens.once.Do(s.indexTokens)
	digest := sha256.Sum256([]byte(bearerToken))
	for _, e := range s.tokens.byPrefix[binary.BigEndian.Uint64(digest[:])] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			return e.organisation, true
		}
	}
	return "", false
}

func (s *Snapshot) indexTokens() {
	s.tokens.byPrefix = make(map[uint64][]tokenEntry, len(s.Document.Organisations))
	for name, o := range s.Document.Organisations {
		for _, t := range o.TokenSHA256 {
			s.indexToken(name, t)
		}
	}
}

func (s *Snapshot) indexToken(organisation, hexDigest string) {
	raw, err := hex.DecodeString(hexDigest)
	if err != nil || len(raw) != sha256.Size {
		return // Validate rejects such digests, but a snapshot built without it may contain one
	}
	e := tokenEntry{digest: [sha256.Size]byte(raw), organisation: organisation}
	key := binary.BigEndian.Uint64(raw)
	s.tokens.byPrefix[key] = append(s.tokens.byPrefix[key], e)
}

// CheckInService returns the refusal of new work if the data centre is out of service, or nil.
func (s *Snapshot) CheckInService(dataCentre string) *contract.Problem {
	if !s.OutOfService(dataCentre) {
		return nil
	}
	return contract.NewProblem(contract.CodeDataCentreOut, contract.NotRun,
		"data centre %s is taken out (settings version %d)", dataCentre, s.Version)
}

// OrganisationWeight returns the organisation's share when organisations compete for capacity; at
// least 1.
func (s *Snapshot) OrganisationWeight(organisation string) int {
	return max(s.Document.Organisations[organisation].Weight, 1)
}

// TokenDigest returns the digest by which a bearer token is declared in TokenSHA256.
func TokenDigest(bearerToken string) string {
	digest := sha256.Sum256([]byte(bearerToken))
	return hex.EncodeToString(digest[:])
}
