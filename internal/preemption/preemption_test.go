package preemption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
)

func room(cores, memory int64) resource.Vector {
	return resource.Vector{MilliCores: cores * 1000, MemoryMB: memory}
}

// Guards against stops that leave no room, cost more than they are worth, or are not needed.
func TestChoose(t *testing.T) {
	need := room(4, 1000)
	full := Worker{Free: room(8, 0), Victims: []Victim{{0, room(0, 600), 50}, {1, room(0, 600), 40}, {2, room(0, 1500), 100},
		{3, room(0, 100), 1}}}
	c, ok := Choose(need, 1, 1000, []Worker{full})
	assert.True(t, ok)
	assert.Equal(t, Choice{Worker: 0, Victims: []int{1, 0}, Cost: 90}, c, "two are cheaper than one")
	cheaper := Worker{Free: room(8, 0), Victims: []Victim{{7, room(0, 1000), 60}}}
	c, ok = Choose(need, 1, 1000, []Worker{full, cheaper})
	assert.True(t, ok)
	assert.Equal(t, Choice{Worker: 1, Victims: []int{7}, Cost: 60}, c)
	_, ok = Choose(need, 1, 59, []Worker{full, cheaper})
	assert.False(t, ok, "too expensive")
	_, ok = Choose(need, 1, 1000, []Worker{{Free: room(3, 0), Victims: full.Victims}})
	assert.False(t, ok, "the victims hold no processors")
	_, ok = Choose(need, 1, 1000, []Worker{full, {Free: need}})
	assert.False(t, ok, "there is room")
	ending := Worker{Free: room(8, 0), Ending: []resource.Vector{need, room(0, 10)}}
	_, ok = Choose(need, 1, 1000, []Worker{full, ending})
	assert.False(t, ok, "a task ends by itself")
	_, ok = Choose(need, 2, 1000, []Worker{full, ending})
	assert.True(t, ok, "one end is not enough for two")
	_, ok = Choose(room(4, 5000), 1, 1000, []Worker{full})
	assert.False(t, ok, "too many would have to be stopped")
}

// Guards against a series of stops that leaves a pool without work of low priority.
func TestLimiter(t *testing.T) {
	for _, inProgress := range []int{10, 1000} {
		l, stopped := &Limiter{}, 0
		for now := time.Second; now <= 11*time.Second; now += 10 * time.Millisecond {
			if l.Allows(now, 1, inProgress) {
				stopped++
			}
		}
		assert.InDelta(t, 10*max(1, inProgress/100), stopped, float64(max(2, inProgress/100)))
	}
}

func TestCost(t *testing.T) {
	assert.Equal(t, int64(2*(700+300)), Cost(2000, 700*time.Millisecond, 300*time.Millisecond))
}
