// Package indexer provides an immutable sorted map for large values.
package indexer

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Map is an immutable map that is sorted by key. Its tree nodes hold pointers to the
// values, so a change copies the small nodes on one path of the tree and none of the
// stored values.
type Map[K cmp.Ordered, V any] struct {
	tree *immutable.SortedMap[K, *V]
}

// NewMap returns an empty map.
func NewMap[K cmp.Ordered, V any]() Map[K, V] {
	return Map[K, V]{tree: immutable.NewSortedMap[K, *V](nil)}
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int { return m.tree.Len() }

// Get returns the value of a key, and whether the map has the key.
func (m Map[K, V]) Get(key K) (V, bool) {
	v, ok := m.tree.Get(key)
	if !ok {
		var zero V
		return zero, false
	}
	return *v, true
}

// With returns a copy of the map in which key has the given value.
func (m Map[K, V]) With(key K, value V) Map[K, V] {
	return Map[K, V]{tree: m.tree.Set(key, &value)}
}

// Without returns a copy of the map without the key.
func (m Map[K, V]) Without(key K) Map[K, V] {
	return Map[K, V]{tree: m.tree.Delete(key)}
}

// Pointers iterates over the keys and pointers to the values in key order, for loops over large values. The caller must
// not change the values.
func (m Map[K, V]) Pointers() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for it := m.tree.Iterator(); !it.Done(); {
			key, value, _ := it.Next()
			if !yield(key, value) {
				return
			}
		}
	}
}

// All iterates over the keys and values in key order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for it := m.tree.Iterator(); !it.Done(); {
			key, value, _ := it.Next()
			if !yield(key, *value) {
				return
			}
		}
	}
}
