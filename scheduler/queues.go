package scheduler

import "laburnumwind/registrar"

// queueIndex finds the queues of a configuration by name.
type queueIndex struct {
	version int64 // of the configuration
	byName  map[string]*registrar.Queue
}

// forConfig returns the index of a configuration: the same one unless the version has changed.
func (q queueIndex) forConfig(c registrar.Config) queueIndex {
	if q.version == c.Version {
		return q
	}
	q = queueIndex{version: c.Version, byName: make(map[string]*registrar.Queue, len(c.Queues))}
	for i := range c.Queues {
		_, known := q.byName[c.Queues[i].Name]
		if !known { // the first one of a name counts, as in Config.Queue
			q.byName[c.Queues[i].Name] = &c.Queues[i]
		}
	}
	return q
}
