package indexer

import (
	"iter"
	"slices"
)

// List is an immutable list. It holds pointers to its values, so a change copies the pointers and none of the other
// values. The zero value is an empty list.
type List[V any] struct{ items []*V }

// ListOf returns a list of the values.
func ListOf[V any](values ...V) List[V] { return List[V]{}.Append(values...) }

// Len returns the number of values.
func (l List[V]) Len() int { return len(l.items) }

// At returns the value at an index.
func (l List[V]) At(i int) V { return *l.items[i] }

// All iterates over the indexes and values.
func (l List[V]) All() iter.Seq2[int, V] {
	return func(yield func(int, V) bool) {
		for i, item := range l.items {
			if !yield(i, *item) {
				return
			}
		}
	}
}

// Index returns the index of the first value for which match returns true, or -1.
func (l List[V]) Index(match func(V) bool) int {
	return slices.IndexFunc(l.items, func(item *V) bool { return match(*item) })
}

// Contains reports whether match returns true for a value.
func (l List[V]) Contains(match func(V) bool) bool { return l.Index(match) >= 0 }

// Append returns a copy of the list with values at its end.
func (l List[V]) Append(values ...V) List[V] {
	items := make([]*V, len(l.items), len(l.items)+len(values))
	copy(items, l.items)
	for _, v := range values {
		items = append(items, &v)
	}
	return List[V]{items: items}
}

// With returns a copy of the list in which an index has the given value.
func (l List[V]) With(i int, value V) List[V] {
	items := slices.Clone(l.items)
	items[i] = &value
	return List[V]{items: items}
}

// Without returns a copy of the list without the value at an index.
func (l List[V]) Without(i int) List[V] {
	items := make([]*V, 0, len(l.items)-1)
	items = append(items, l.items[:i]...)
	return List[V]{items: append(items, l.items[i+1:]...)}
}
