package platform

import "maps"

// StreamStats holds the counters of one stream since the start.
type StreamStats struct {
	Appends  int64 `json:"appends"`
	Records  int64 `json:"records"`
	Reads    int64 `json:"reads"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
	// Oldest is the offset of the first retained record, End the offset of the next append.
	Oldest uint64 `json:"oldest"`
	End    uint64 `json:"end"`
}

// LogStats holds the counters of the log service since the start.
type LogStats struct {
	Appends     int64                  `json:"appends"`
	Reads       int64                  `json:"reads"`
	RateLimited int64                  `json:"rate_limited"`
	Failed      int64                  `json:"failed"`
	LostAnswers int64                  `json:"lost_answers"`
	LostCalls   int64                  `json:"lost_calls"`
	Streams     map[string]StreamStats `json:"streams"`
}

// Stats returns a copy of the counters.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Streams = make(map[string]StreamStats, len(l.streams))
	for name, s := range l.streams {
		st := s.stats
		st.Oldest, st.End = s.oldest, s.nextOffset()
		out.Streams[name] = st
	}
	return out
}

// ListStats holds the counters of the instance list since the start, and the present number of members by role.
type ListStats struct {
	Reads     int64          `json:"reads"`
	Registers int64          `json:"registers"`
	Members   map[string]int `json:"members"`
}

// Stats returns a copy of the counters and counts the members without the read lag.
func (list *List) Stats() ListStats {
	list.mu.Lock()
	defer list.mu.Unlock()
	out := list.stats
	out.Members = maps.Clone(list.stats.Members)
	if out.Members == nil {
		out.Members = map[string]int{}
	}
	now := list.now()
	for _, h := range list.histories {
		if m, ok := h.at(now, list.ttl); ok {
			out.Members[string(m.Role)]++
		}
	}
	return out
}
