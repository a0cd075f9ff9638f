package worker

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/process"
)

// maxWorkers is the largest number of workers of one site.
const maxWorkers = 2000

const (
	settingFleet = "--fleet"
	settingKinds = "--kinds"
)

// Site is a group of workers in one data centre that listen on consecutive ports of one IP address.
type Site struct {
	DataCentre string
	Workers    int
	// First is the address of the first worker.
	First netip.AddrPort
}

// ParseSite parses a site in the form brisbane=17@127.10.0.1:9000. It returns *process.SettingError if the text is
// malformed.
func ParseSite(text string) (Site, error) {
	invalid := &process.SettingError{Setting: settingFleet, Value: text,
		Allowed: fmt.Sprintf("NAME=COUNT@IP:PORT with 1 to %d workers whose ports stay below 65536", maxWorkers)}
	name, rest, ok1 := strings.Cut(text, "=")
	count, addr, ok2 := strings.Cut(rest, "@")
	n, err1 := strconv.Atoi(count)
	first, err2 := netip.ParseAddrPort(addr)
	if !ok1 || !ok2 || name == "" || err1 != nil || err2 != nil ||
		n < 1 || n > maxWorkers || int(first.Port())+n > 1<<16 {
		return Site{}, invalid
	}
	return Site{DataCentre: name, Workers: n, First: first}, nil
}

// Configs returns the configuration of each worker of a site. All fields but ID, DataCentre, Rack and Addr are copied
// from base.
func (s Site) Configs(base Config, perRack int) []Config {
	out := make([]Config, 0, s.Workers)
	for i := range s.Workers {
		c := base
		c.ID = instance.ID(fmt.Sprintf("%s-w%03d", s.DataCentre, i))
		c.DataCentre, c.Rack = s.DataCentre, i/max(1, perRack)
		c.Addr = netip.AddrPortFrom(s.First.Addr(), s.First.Port()+uint16(i)).String()
		out = append(out, c)
	}
	return out
}

// ParseKind parses a kind in the form name=120ms or name=120ms/4096, where the number is the minimum length of an
// answer in bytes. It returns *process.SettingError if the text is malformed.
func ParseKind(text string) (name string, k Kind, err error) {
	invalid := &process.SettingError{Setting: settingKinds, Value: text,
		Allowed: "NAME=DURATION or NAME=DURATION/BYTES"}
	name, rest, ok := strings.Cut(text, "=")
	duration, bytes, sized := strings.Cut(rest, "/")
	k.RunTime, err = time.ParseDuration(duration)
	if !ok || name == "" || err != nil || k.RunTime < 0 {
		return "", Kind{}, invalid
	}
	if sized {
		if k.AnswerBytes, err = strconv.Atoi(bytes); err != nil || k.AnswerBytes < 0 {
			return "", Kind{}, invalid
		}
	}
	return name, k, nil
}
