package agent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func fleet(dataCentres, workersEach int) []Worker {
	var out []Worker
	for d := range dataCentres {
		for i := range workersEach {
			out = append(out, Worker{ID: fmt.Sprintf("w-%d-%d", d, i), DataCentre: fmt.Sprint("dc", d)})
		}
	}
	return out
}

func strong(name, dataCentre string) Instance {
	return Instance{Name: name, DataCentre: dataCentre, Cores: 0.8, LinkBytesPerSecond: 25e6}
}

func weak(name, dataCentre string) Instance {
	return Instance{Name: name, DataCentre: dataCentre, Cores: 0.192, LinkBytesPerSecond: 2.5e6}
}

func TestNeedsAgents(t *testing.T) {
	for _, c := range []struct {
		name    string
		owner   Instance
		workers int
		want    bool
	}{
		{"small site", Instance{Cores: 0.4, LinkBytesPerSecond: 125e6}, 66, false},
		{"large fleet", strong("a", "dc0"), 890, true},
		{"slow link", Instance{Cores: 0.12, LinkBytesPerSecond: 250e3}, 24, true},
		{"unknown link", Instance{Cores: 0.4}, 90, false},
		{"no workers", Instance{}, 0, false},
	} {
		assert.Equal(t, c.want, NeedsAgents(c.owner, c.workers), c.name)
	}
}

func TestAssignPrefersStrongInstancesOfTheDataCentre(t *testing.T) {
	var instances []Instance
	for d := range 6 {
		dc := fmt.Sprint("dc", d)
		for i := range 3 {
			instances = append(instances, strong(fmt.Sprintf("s-%d-%d", d, i), dc))
		}
		for i := range 13 {
			instances = append(instances, weak(fmt.Sprintf("w-%d-%d", d, i), dc))
		}
	}
	workers := fleet(6, 148)
	got := Assign(workers, instances)
	require.Len(t, got, len(workers))
	load := map[string]int{}
	for _, w := range workers {
		load[got[w.ID]]++
		assert.Equal(t, "s-"+w.DataCentre[2:], got[w.ID][:3])
	}
	assert.Len(t, load, 12, "two instances serve 148 workers")
	for name, n := range load {
		assert.InDelta(t, 74, n, 25, name)
	}
}

func TestAssignSharesByCapacity(t *testing.T) {
	workers := fleet(1, 400)
	load := map[string]int{}
	for _, name := range Assign(workers, []Instance{strong("s", "dc0"), weak("w", "dc0")}) {
		load[name]++
	}
	assert.InDelta(t, 400*100/124, load["s"], 40)
	assert.Equal(t, 400, load["s"]+load["w"])
}

func TestAssignWithoutInstanceInTheDataCentre(t *testing.T) {
	workers := fleet(2, 50)
	got := Assign(workers, []Instance{strong("a", "dc0"), weak("b", "dc0")})
	for _, w := range workers {
		assert.Equal(t, "a", got[w.ID])
	}
	got = Assign(fleet(1, 10), []Instance{strong("far", "elsewhere")})
	assert.Equal(t, "far", got["w-0-3"])
	assert.Empty(t, Assign(workers, nil))
}

func TestFewWorkersMoveWhenAnInstanceGoes(t *testing.T) {
	workers := fleet(1, 300)
	instances := []Instance{strong("a", "dc0"), strong("b", "dc0"), strong("c", "dc0"), strong("d", "dc0")}
	before := Assign(workers, instances)
	after := Assign(workers, instances[1:])
	for _, w := range workers {
		if before[w.ID] != "a" && before[w.ID] != after[w.ID] {
			assert.Equal(t, "d", after[w.ID], "a worker moves only to the instance that was not used before")
		}
	}
}
