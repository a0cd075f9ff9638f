package agent

import (
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/relay"
)

// sender collects messages and writes them in frames. encode turns the collected messages into a frame; it is called by
// one goroutine, in the order of the frames.
type sender[T any] struct {
	stream relay.Stream
	delay  time.Duration
	encode func([]T) ([]byte, error)
	mu     sync.Mutex
	// urgent messages are sent before those of queue.
	urgent, queue []T
	// wake has an element while a queue is not empty.
	wake chan struct{}
}

func newSender[T any](s relay.Stream, delay time.Duration, encode func([]T) ([]byte, error)) *sender[T] {
	return &sender[T]{stream: s, delay: delay, encode: encode, wake: make(chan struct{}, 1)}
}

func (s *sender[T]) add(m T, urgent bool) {
	s.mu.Lock()
	if urgent {
		s.urgent = append(s.urgent, m)
	} else {
		s.queue = append(s.queue, m)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns up to maxFrameCalls messages, urgent ones first, and whether others remain.
func (s *sender[T]) take() ([]T, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := take(&s.urgent, maxFrameCalls)
	out = append(out, take(&s.queue, maxFrameCalls-len(out))...)
	return out, len(s.urgent)+len(s.queue) > 0
}

// take removes up to n messages from the front of a queue.
func take[T any](queue *[]T, n int) []T {
	n = min(n, len(*queue))
	out := (*queue)[:n:n]
	if *queue = (*queue)[n:]; len(*queue) == 0 {
		*queue = nil
	}
	return out
}

// run writes frames until done is closed or a write fails.
func (s *sender[T]) run(done <-chan struct{}) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-s.wake:
		}
		timer.Reset(s.delay)
		select {
		case <-done:
			return nil
		case <-timer.C:
		}
		for more := true; more; {
			var batch []T
			if batch, more = s.take(); len(batch) == 0 {
				break
			}
			if err := s.write(batch); err != nil {
				return err
			}
		}
	}
}

func (s *sender[T]) write(batch []T) error {
	b, err := s.encode(batch)
	if err != nil {
		return err
	}
	if err := s.stream.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		return err
	}
	_, err = s.stream.Write(b)
	return err
}
