package catalog

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against a task that runs again because its end is stored apart from its record.
func TestEndsStoredApartOutliveOlderAndNewerRecords(t *testing.T) {
	placed := workflow.TaskRecord{Phase: workflow.Placed, Run: 2, Worker: "w", WorkerStartedAt: 3, Checkpoint: "c"}
	record := &workflow.Record{State: workflow.Running, Tasks: [][][]workflow.TaskRecord{{make([]workflow.TaskRecord, 12)}}}
	for i := range record.Tasks[0][0] {
		record.Tasks[0][0][i] = placed
	}
	bits := Ended{{nil}}
	bits.Set(0, 0, 1)
	bits.Set(0, 0, 11)
	tasks := entry(t, 1)(TasksEntry("a", record))
	ended := entry(t, 2)(EndedEntry("a", bits))
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, entries := range [][]eventlog.Entry{{tasks, ended}, {ended, tasks}} {
		rows := DecodeTasks(entries, logger).Records["a"].Tasks[0][0]
		for i := range rows {
			if i == 1 || i == 11 {
				assert.Equal(t, workflow.TaskRecord{Phase: workflow.Ended, Run: 2}, rows[i])
				continue
			}
			assert.Equal(t, placed, rows[i])
		}
	}
	alone := DecodeTasks([]eventlog.Entry{ended, {Key: "ended/b", Value: []byte{0xff}}}, logger)
	assert.Empty(t, alone.Records)
	removed := DecodeTasks([]eventlog.Entry{ended, tasks, RemoveEndedEntry("a")}, logger)
	assert.Equal(t, placed, removed.Records["a"].Tasks[0][0][1])
	// Bits beyond the record are ignored.
	bits.Set(0, 0, 400)
	assert.Len(t, DecodeTasks([]eventlog.Entry{tasks, entry(t, 3)(EndedEntry("a", bits))}, logger).Records["a"].Tasks[0][0], 12)
}
