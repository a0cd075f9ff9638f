package platform

import "maps"

// StreamStats counts the use of one stream.
type StreamStats struct {
	Appends  int64 `json:"appends"`
	Records  int64 `json:"records"`
	Reads    int64 `json:"reads"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
	// Oldest and End are the oldest kept offset and the offset of the next append.
	Oldest uint64 `json:"oldest"`
	End    uint64 `json:"end"`
}

// LogStats counts the use of the log service.
type LogStats struct {
	Appends     int64                  `json:"appends"`
	Reads       int64                  `json:"reads"`
	RateLimited int64                  `json:"rate_limited"`
	Failed      int64                  `json:"failed"`
	LostAnswers int64                  `json:"lost_answers"`
	LostCalls   int64                  `json:"lost_calls"`
	Streams     map[string]StreamStats `json:"streams"`
}

// Stats returns the counts since the start.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Streams = make(map[string]StreamStats, len(l.streams))
	for name, s := range l.streams {
		st := s.stats
		st.Oldest, st.End = s.oldest, s.end()
		out.Streams[name] = st
	}
	return out
}

// ListStats counts the use of the instance list.
type ListStats struct {
	Reads     int64          `json:"reads"`
	Registers int64          `json:"registers"`
	Members   map[string]int `json:"members"`
}

// Stats returns the counts since the start and the present number of members by role.
func (l *List) Stats() ListStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	out.Members = maps.Clone(l.stats.Members)
	if out.Members == nil {
		out.Members = map[string]int{}
	}
	now := l.now()
	for _, h := range l.histories {
		if m, ok := h.at(now, l.ttl); ok {
			out.Members[string(m.Role)]++
		}
	}
	return out
}
