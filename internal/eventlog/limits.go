package eventlog

import "fmt"

// Limits are the sizes that a log accepts. A field that is 0 sets no limit.
type Limits struct {
	// RecordBytes limits one record: a key and a value with their framing.
	RecordBytes int
	// AppendBytes limits the records of one append together.
	AppendBytes int
}

// framingBytes is what a record takes in addition to its key and value: the lengths of the record and of its key.
const framingBytes = 5

// Bytes returns the size of the record of an entry.
func (e *Entry) Bytes() int { return framingBytes + len(e.Key) + len(e.Value) }

// RejectedError reports an append that the log does not store because of what it contains, however often it is repeated.
// Nothing was stored. Status is 0 if it was not sent because a record of Bytes is longer than Limit.
type RejectedError struct {
	Status       int
	Key          string
	Bytes, Limit int
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("the record %s of %d bytes is longer than a record of the log may be, %d bytes", e.Key, e.Bytes, e.Limit)
	}
	return fmt.Sprintf("log rejected an append with status %d", e.Status)
}

// Check returns a *RejectedError if the record of an entry is longer than the log accepts.
func (l Limits) Check(entries ...Entry) error {
	for i := range entries {
		if n := entries[i].Bytes(); l.RecordBytes > 0 && n > l.RecordBytes {
			return &RejectedError{Key: entries[i].Key, Bytes: n, Limit: l.RecordBytes}
		}
	}
	return nil
}

// Fit returns how many of the entries, from the first on, one append takes; it is at least 1 if there are any.
func (l Limits) Fit(entries []Entry) int {
	bytes := 0
	for i := range entries {
		if bytes += entries[i].Bytes(); l.AppendBytes > 0 && bytes > l.AppendBytes {
			return max(1, i)
		}
	}
	return len(entries)
}
