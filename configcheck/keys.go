package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// keySet returns a text that differs for different sets of keys and does not show them.
func keySet(keys []string) string {
	sorted := slices.Sorted(slices.Values(keys))
	return fmt.Sprintf("%d keys (%08x)", len(keys), uint32(xxhash.Sum64String(strings.Join(sorted, "\n"))))
}
