package evacuation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func closed(dataCentre string, offset int64) Record { return Record{dataCentre, Closed, offset} }
func opened(dataCentre string, offset int64) Record { return Record{dataCentre, Open, offset} }
func unreadable(dataCentre string, offset int64) Record {
	return Record{dataCentre, Unreadable, offset}
}

// Guards against a data centre whose state differs from what its newest readable record says.
func TestStateFollowsTheLog(t *testing.T) {
	for name, test := range map[string]struct {
		batches []Batch
		want    []string
		// changed and unreadable are those of the last batch.
		changed, unreadable []Record
	}{
		"nothing read":        {},
		"empty first load":    {batches: []Batch{{Reset: true}}},
		"closed":              {batches: []Batch{{Records: []Record{closed("tema", 3)}}}, want: []string{"tema"}, changed: []Record{closed("tema", 3)}},
		"closed at the start": {batches: []Batch{{Reset: true, Next: 9, Records: []Record{closed("tema", 3)}}}, want: []string{"tema"}, changed: []Record{closed("tema", 3)}},
		"reopened": {batches: []Batch{{Records: []Record{closed("tema", 3)}}, {Records: []Record{opened("tema", 4)}}},
			changed: []Record{opened("tema", 4)}},
		"closed again in one batch": {batches: []Batch{{Records: []Record{closed("tema", 3), opened("tema", 4), closed("tema", 5)}}},
			want: []string{"tema"}, changed: []Record{closed("tema", 3), opened("tema", 4), closed("tema", 5)}},
		"written twice": {batches: []Batch{{Records: []Record{closed("tema", 3)}}, {Records: []Record{closed("tema", 4)}}},
			want: []string{"tema"}},
		"opened without having been closed": {batches: []Batch{{Records: []Record{opened("tema", 4)}}}},
		"overlapping": {batches: []Batch{{Records: []Record{closed("tema", 3)}}, {Records: []Record{closed("accra", 4)}},
			{Records: []Record{opened("tema", 5)}}}, want: []string{"accra"}, changed: []Record{opened("tema", 5)}},
		"unreadable while closed": {batches: []Batch{{Records: []Record{closed("tema", 3)}}, {Records: []Record{unreadable("tema", 4)}}},
			want: []string{"tema"}, unreadable: []Record{unreadable("tema", 4)}},
		"unreadable while open": {batches: []Batch{{Records: []Record{unreadable("tema", 4)}}}, unreadable: []Record{unreadable("tema", 4)}},
		"history lost, still closed": {batches: []Batch{{Records: []Record{closed("tema", 3)}}, {Reset: true, Records: []Record{closed("tema", 3)}, Next: 9}},
			want: []string{"tema"}},
		"history lost, key gone": {batches: []Batch{{Records: []Record{closed("tema", 3), closed("accra", 4), closed("lome", 5)}},
			{Reset: true, Records: []Record{closed("accra", 4)}, Next: 9}}, want: []string{"accra"},
			changed: []Record{opened("lome", 9), opened("tema", 9)}},
		"history lost, newest record unreadable": {batches: []Batch{{Records: []Record{closed("tema", 3)}},
			{Reset: true, Records: []Record{unreadable("tema", 7)}, Next: 9}}, want: []string{"tema"},
			unreadable: []Record{unreadable("tema", 7)}},
		"history lost with its offsets": {batches: []Batch{{Records: []Record{closed("tema", 3), opened("tema", 90)}},
			{Reset: true, Next: 1}, {Records: []Record{closed("tema", 1)}}}, want: []string{"tema"}, changed: []Record{closed("tema", 1)}},
		"records read again after a reset": {batches: []Batch{{Reset: true, Records: []Record{closed("tema", 7)}, Next: 4},
			{Records: []Record{closed("tema", 5), opened("tema", 6)}}}, want: []string{"tema"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &State{}
			var changed, unreadable []Record
			for _, b := range test.batches {
				changed, unreadable = s.Apply(b)
			}
			assert.Equal(t, test.want, slices.Sorted(maps.Keys(s.Closed())))
			assert.Equal(t, test.changed, changed)
			assert.Equal(t, test.unreadable, unreadable)
			for _, dataCentre := range []string{"tema", "accra", "lome"} {
				assert.Equal(t, slices.Contains(test.want, dataCentre), s.Closed().Contains(dataCentre))
			}
		})
	}
}

// Guards against a set that changes while the owner reads it.
func TestReturnedSetIsNotChanged(t *testing.T) {
	s := &State{}
	s.Apply(Batch{Records: []Record{closed("tema", 1)}})
	before := s.Closed()
	s.Apply(Batch{Records: []Record{opened("tema", 2), closed("accra", 3)}})
	assert.Equal(t, Set{"tema": {}}, before)
	assert.Equal(t, Set{"accra": {}}, s.Closed())
}

// Guards against instances that disagree: however a log is cut into reads, with resets and repeated records in between, the
// state is that of the newest readable record of each data centre.
func TestStateDoesNotDependOnTheReads(t *testing.T) {
	names := []string{"a", "b", "c"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 11))
		var log []Record
		for i := range 40 {
			log = append(log, Record{names[rng.IntN(len(names))], Content(1 + rng.IntN(2)), int64(i)})
		}
		s := &State{}
		for next := 0; next < len(log); {
			if rng.IntN(4) == 0 {
				end := next + rng.IntN(len(log)-next+1)
				s.Apply(Batch{Reset: true, Records: newest(log[:end]), Next: int64(next)})
				continue
			}
			end := min(len(log), next+1+rng.IntN(5))
			s.Apply(Batch{Records: log[next:end], Next: int64(end)})
			next = end
		}
		want := Set{}
		for _, r := range newest(log) {
			want[r.DataCentre] = struct{}{}
		}
		assert.Equal(t, want, s.Closed(), "seed %d", seed)
	}
}

// newest returns the newest record of each data centre whose key is present.
func newest(log []Record) []Record {
	last := map[string]Record{}
	for _, r := range log {
		last[r.DataCentre] = r
	}
	var out []Record
	for _, r := range last {
		if r.Content == Closed {
			out = append(out, r)
		}
	}
	return out
}
