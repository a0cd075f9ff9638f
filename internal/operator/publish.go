package operator

import (
	"context"
	"net/http"
	"os/user"
	"sort"
	"strconv"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	// waitPollInterval is the pause between two queries of all instances.
	waitPollInterval = 250 * time.Millisecond
	// statusTimeout bounds the query of one instance, so that an unreachable one does not delay the others.
	statusTimeout = time.Second
)

// PublishCommand puts a manifest in force.
type PublishCommand struct {
	File     string  `arg:"" type:"existingfile" help:"YAML file, or - for standard input."`
	Replaces *uint64 `help:"Version that the manifest is to replace; refused if another one is in force. Default: the one in force now."`
	Wait     bool    `help:"End when every live gateway and scheduler has the version in force, at the latest after --timeout."`
	Operator string  `env:"CLEMENTINE_OPERATOR" help:"Name that the history shows. Default: the name of the user."`
}

// publishResult is the result of the command publish.
type publishResult struct {
	Version uint64 `json:"version"`
	// InForceAfter is the time from the publication until all instances reported it, in milliseconds. It and Instances
	// are set only with --wait.
	InForceAfter int64 `json:"in_force_after_ms,omitempty"`
	Instances    int   `json:"instances,omitempty"`
}

// Run implements the command.
func (c *PublishCommand) Run(ctx context.Context, e *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	version, err := config.Publish(ctx, e.log, config.Proposal{Name: c.File, Manifest: data, Operator: c.operator(),
		Replaces: c.Replaces, At: e.now()})
	if err != nil {
		return err
	}
	p := publishResult{Version: version}
	if !c.Wait {
		return e.printResult(p, "Version %d is published.", version)
	}
	e.printProgress("Version %d is published; waiting for the instances.", version)
	start := e.now()
	if p.Instances, err = e.waitForVersion(ctx, version); err != nil {
		return err
	}
	waited := e.now().Sub(start)
	p.InForceAfter = waited.Milliseconds()
	return e.printResult(p, "Version %d is in force at %s after %s.", version, plural(p.Instances, "instance"),
		waited.Round(time.Millisecond))
}

// operator returns the name that is stored with the publication.
func (c *PublishCommand) operator() string {
	if c.Operator != "" {
		return c.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// status is the answer of a gateway or scheduler to GET /v1/status.
type status struct {
	ID           string `json:"id"`
	Role         string `json:"role"`
	ConfigOffset uint64 `json:"config_offset"`
	Ready        bool   `json:"ready"`
}

// instanceStatus is one instance with its status, or the error of the query.
type instanceStatus struct {
	member instance.Member
	status status
	err    error
}

// waitForVersion polls all live instances until each reports the version or a newer one, and returns their number. The
// list of instances is read again for each poll. It returns a *WaitError if ctx ends before.
func (e *Env) waitForVersion(ctx context.Context, version uint64) (int, error) {
	start, last := e.now(), ""
	var missing []string
	for {
		all, err := e.queryInstances(ctx)
		if ctx.Err() != nil {
			return 0, &WaitError{Version: version, Waited: e.now().Sub(start).Round(time.Millisecond), Missing: missing}
		}
		live := 0
		if err == nil {
			live, missing = outstanding(all, version)
		}
		if live > 0 && len(missing) == 0 {
			return live, nil
		}
		if progress := strconv.Itoa(live-len(missing)) + " of " + plural(live, "instance"); err == nil &&
			progress != last {
			e.printProgress("%s report version %d.", progress, version)
			last = progress
		}
		select {
		case <-ctx.Done():
		case <-time.After(waitPollInterval):
		}
	}
}

// outstanding returns the number of live instances, and a description of each that has an older version or did not
// answer.
func outstanding(all []instanceStatus, version uint64) (live int, missing []string) {
	for _, a := range all {
		if a.member.State != instance.StateLive {
			continue
		}
		live++
		name := string(a.member.Role) + " " + string(a.member.ID) + " at " + a.member.HTTPAddr
		switch {
		case a.err != nil:
			missing = append(missing, name+": "+a.err.Error())
		case a.status.ConfigOffset < version:
			missing = append(missing, name+": has version "+formatUint(a.status.ConfigOffset))
		}
	}
	return live, missing
}

// queryInstances queries the status of all gateways and schedulers of the instance list in parallel. The result is
// sorted by role and id.
func (e *Env) queryInstances(ctx context.Context) ([]instanceStatus, error) {
	members, err := e.list.Members(ctx, instance.RoleGateway, instance.RoleScheduler)
	if err != nil {
		return nil, err
	}
	out := make([]instanceStatus, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		out[i].member = m
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			out[i].err = e.send(ctx, "http://"+m.HTTPAddr,
				call{method: http.MethodGet, path: "/v1/status", out: &out[i].status})
		})
	}
	wg.Wait()
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].member, out[j].member
		return a.Role < b.Role || a.Role == b.Role && a.ID < b.ID
	})
	return out, nil
}

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
