package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

// TestDepartureOfInvalidWorker guards against a departure that puts an ID into the log that no worker can have: an
// unreadable one blocked all later commits.
func TestDepartureOfInvalidWorker(t *testing.T) {
	tests := map[string]struct {
		id     string
		status messenger.CallStatus
	}{
		"unknown worker": {id: "i-1", status: messenger.CallDone},
		"unreadable ID":  {id: "\xff\xfe", status: messenger.CallInvalid},
		"empty ID":       {id: "", status: messenger.CallInvalid},
		"long ID":        {id: string(make([]byte, 1<<20)), status: messenger.CallInvalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 1}, faults{})
			status := messenger.CallStatus(0)
			w.call(messenger.Departure{Worker: tt.id}, func(a messenger.JobAnswer) { status = a.Status })
			w.RunFor(time.Second)
			must.EqOp(t, tt.status, status)
		})
	}
}
