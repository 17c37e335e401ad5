package placement

import "sort"

func sortBy[T any](list []T, less func(a, b T) bool) {
	sort.Slice(list, func(i, k int) bool { return less(list[i], list[k]) })
}
