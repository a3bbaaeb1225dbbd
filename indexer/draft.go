package indexer

import (
	"cmp"
	"iter"
)

// maxPending is the number of changed values that a Draft holds before it writes them to its map. Few values are
// found faster in a list than in a tree.
const maxPending = 8

// Draft collects changes of a Map, so that several changes of one value in a step cost one change of the map. A draft
// belongs to one goroutine.
type Draft[K cmp.Ordered, V any] struct {
	base    Map[K, V]
	pending []pendingValue[K, V]
}

// pendingValue is a value that the draft has not yet written to its map.
type pendingValue[K cmp.Ordered, V any] struct {
	key   K
	value *V
}

// NewDraft returns a draft without changes.
func NewDraft[K cmp.Ordered, V any](base Map[K, V]) *Draft[K, V] {
	return &Draft[K, V]{base: base}
}

// Get returns the value of a key, and whether the draft has the key.
func (d *Draft[K, V]) Get(key K) (V, bool) {
	for _, p := range d.pending {
		if p.key == key {
			return *p.value, true
		}
	}
	return d.base.Get(key)
}

// Set gives a key a value.
func (d *Draft[K, V]) Set(key K, value V) {
	for _, p := range d.pending {
		if p.key == key {
			*p.value = value
			return
		}
	}
	if len(d.pending) == maxPending {
		d.write()
	}
	d.pending = append(d.pending, pendingValue[K, V]{key: key, value: &value})
}

// Delete removes a key.
func (d *Draft[K, V]) Delete(key K) {
	d.write()
	d.base = d.base.Without(key)
}

// Reset removes all keys.
func (d *Draft[K, V]) Reset() {
	d.base, d.pending = NewMap[K, V](), nil
}

// Len returns the number of keys.
func (d *Draft[K, V]) Len() int { return d.Map().Len() }

// All iterates over the keys and values in key order, as they are when the iteration begins.
func (d *Draft[K, V]) All() iter.Seq2[K, V] { return d.Map().All() }

// Pointers iterates as All does, over pointers to the values, which the caller must not change.
func (d *Draft[K, V]) Pointers() iter.Seq2[K, *V] { return d.Map().Pointers() }

// Map returns the map with all changes.
func (d *Draft[K, V]) Map() Map[K, V] {
	d.write()
	return d.base
}

// write writes the pending values to the map. The draft no longer changes these values, since the map shares them.
func (d *Draft[K, V]) write() {
	for _, p := range d.pending {
		d.base = Map[K, V]{tree: d.base.tree.Set(p.key, p.value)}
	}
	d.pending = d.pending[:0]
}
