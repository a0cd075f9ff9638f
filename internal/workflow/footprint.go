package workflow

// The memory that an owner and the catalog take for a submission, in bytes of the heap: 2,650 for one with a single task, 780 for a
// further step and 723 for a further task were measured (docs/design/0010-memory-of-accepted-work.md), the rest is margin for
// what a takeover reads.
const (
	submissionBytes = 3 << 10
	stepBytes       = 1 << 10
	taskBytes       = 1 << 10
	referenceBytes  = 8
)

// RoundFootprint returns the memory for one round, in bytes.
func (s *Submission) RoundFootprint() int64 {
	bytes := int64(0)
	for i := range s.Steps {
		bytes += stepBytes + int64(s.Steps[i].Count)*taskBytes
	}
	return bytes
}

// RetainedFootprint returns the memory for the submission once it is over, in bytes.
func (s *Submission) RetainedFootprint() int64 {
	bytes := int64(submissionBytes + len(s.Spec))
	for i := range s.Steps {
		st := &s.Steps[i]
		bytes += int64(len(st.Label)+len(st.DataRack)+len(st.Image)+referenceBytes*len(st.After)) + stepBytes/4
	}
	return bytes
}

// Footprint returns the memory for the submission until it is over, with one round.
func (s *Submission) Footprint() int64 { return s.RetainedFootprint() + s.RoundFootprint() }
