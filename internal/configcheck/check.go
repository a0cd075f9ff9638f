package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/queue"
)

// Format describes the form of configuration files.
type Format struct {
	// Decode decodes a configuration as the instances do, and returns the names of its pools in the order of the text.
	Decode func([]byte) (*queue.Config, []string, error)
	// Known holds the paths of the fields that Decode reads, in lower case and without indexes.
	Known map[string]struct{}
	// The other fields are the names of fields in the file.
	Version, Queues, Pools                           string
	Name, Host, Prefix, Pool                         string
	Priority, Attempts, Stretch, Allowance, Validity string
	BodyBytes                                        string
	// MinValidity is the time for which approvals of an advisor must be valid to be of use.
	MinValidity time.Duration
}

// Check checks a configuration. running is nil if the log was not read.
func Check(f *Format, text []byte, running *Running) Report {
	doc, ok := ParseDocument(text)
	c := &checker{Format: f, Document: doc}
	if ok {
		c.checkContent(text, running)
	}
	r := Report{}
	if running != nil && ok {
		r.Compared, r.InForce, r.Changes = true, running.Version, c.compare(running)
	}
	r.Findings = append([]Finding{}, doc.findings...)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return r
}

type checker struct {
	*Format
	*Document
	config *queue.Config
}

func (c *checker) checkContent(text []byte, running *Running) {
	config, pools, err := c.Decode(text)
	if err != nil {
		c.reportType(err)
		return
	}
	c.config = config
	c.reportUnknown(c.Known)
	if len(config.Queues) == 0 {
		c.report(Error, RuleMissing, c.Queues, "has no entries, so every request would be refused")
	}
	c.checkNames()
	for i := range config.Queues {
		c.checkRoute(i)
		c.checkTerms(i)
	}
	c.checkPools(pools, running)
	if config.Limits.BodyBytes < 0 {
		c.report(Error, RuleLimits, c.BodyBytes, "must not be negative")
	}
}

func (c *checker) at(i int, field string) string { return fmt.Sprintf("%s[%d].%s", c.Queues, i, field) }

// checkNames reports queues without a name and names that are given twice. Submissions are stored with the name of their queue.
func (c *checker) checkNames() {
	first := map[string]int{}
	for i, q := range c.config.Queues {
		n := q.Terms.Queue
		if n == "" {
			c.report(Error, RuleMissing, c.at(i, c.Name), "is missing")
			continue
		}
		if j, again := first[n]; again {
			c.report(Error, RuleRepeated, c.at(i, c.Name), "%q is already the name of %s[%d]", n, c.Queues, j)
			continue
		}
		first[n] = i
	}
}

// checkRoute reports a queue that no request reaches. A request belongs to the queue of its host with the longest prefix of
// its path, and to the first one of several with the same prefix.
func (c *checker) checkRoute(i int) {
	q := &c.config.Queues[i]
	switch {
	case q.Host == "":
		c.report(Error, RuleMissing, c.at(i, c.Host), "is missing")
		return
	case strings.Contains(q.Host, ":"):
		c.report(Error, RuleNeverMatches, c.at(i, c.Host), "must have no port: requests are matched by their host without it")
		return
	case q.PathPrefix != "" && q.PathPrefix[0] != '/':
		c.report(Error, RuleNeverMatches, c.at(i, c.Prefix), "must begin with a slash, as every path does")
		return
	}
	for j, o := range c.config.Queues {
		switch {
		case j == i || o.Host != q.Host:
		case o.PathPrefix == q.PathPrefix && j < i:
			c.report(Error, RuleNeverMatches, c.at(i, c.Prefix), "is the same as that of %s[%d], which gets all requests", c.Queues, j)
			return
		case q.PathPrefix == "" && o.PathPrefix == "/":
			c.report(Error, RuleNeverMatches, c.at(i, c.Prefix), "is behind the longer one of %s[%d], which every path has", c.Queues, j)
			return
		case o.PathPrefix == q.PathPrefix+"/":
			c.report(Warning, RuleNeverMatches, c.at(i, c.Prefix),
				"is behind the longer one of %s[%d], which gets all requests with a slash before the id", c.Queues, j)
			return
		}
	}
}

// checkTerms reports terms that no submission can meet.
func (c *checker) checkTerms(i int) {
	t := &c.config.Queues[i].Terms
	switch {
	case t.Stretch < 0 || t.Allowance < 0:
		field := c.Stretch
		if t.Allowance < 0 {
			field = c.Allowance
		}
		c.report(Error, RuleLimits, c.at(i, field), "must not be negative")
	case t.Stretch == 0 && t.Allowance == 0:
		c.report(Warning, RuleLimits, c.at(i, c.Stretch), "and %s are 0, so every result is late", c.Allowance)
	case t.Stretch <= 1 && t.Allowance == 0:
		c.report(Error, RuleLimits, c.at(i, c.Stretch),
			"must be above 1 without %s: submissions would be due before the end of their estimated work", c.Allowance)
	case t.Stretch < 1:
		longest := time.Duration(float64(t.Allowance) / (1 - t.Stretch)).Round(time.Millisecond)
		c.report(Warning, RuleLimits, c.at(i, c.Stretch),
			"is below 1: submissions with more than %s of work are due before the end of their estimated work", longest)
	}
	if t.MaxAttempts < 1 {
		c.report(Warning, RuleLimits, c.at(i, c.Attempts), "is below 1, so the first failure of a task ends its submission")
	}
	if t.Priority < 0 {
		c.report(Warning, RuleLimits, c.at(i, c.Priority), "is below 0, the highest priority")
	}
	if a := t.Advised; a != nil && a.Valid <= c.MinValidity {
		c.report(Warning, RuleLimits, c.at(i, c.Validity),
			"is not above %s, so approvals that state no validity of their own expire before they can be used", c.MinValidity)
	}
}

// checkPools reports pools that are not configured, have no workers or are not used. Workers of a pool that is not configured get
// no calls, unless no pool is.
func (c *checker) checkPools(pools []string, running *Running) {
	first, used := map[string]int{}, map[string]struct{}{}
	for i, p := range pools {
		path := fmt.Sprintf("%s[%d].%s", c.Pools, i, c.Name)
		if j, again := first[p]; again {
			c.report(Error, RuleRepeated, path, "%q is already the name of %s[%d]; only the last one counts", p, c.Pools, j)
			continue
		}
		first[p] = i
		if p == "" {
			c.report(Error, RuleMissing, path, "is missing")
		}
	}
	for i, q := range c.config.Queues {
		pool := q.Terms.Pool
		used[pool] = struct{}{}
		switch {
		case pool == "":
			c.report(Error, RuleMissing, c.at(i, c.Pool), "is missing")
		case !c.config.HasPool(pool):
			c.report(Error, RulePool, c.at(i, c.Pool), "%q is not in %s, so its workers get no tasks", pool, c.Pools)
		case running != nil && running.Workers[pool] == 0:
			c.report(Warning, RulePool, c.at(i, c.Pool), "%q has no listed worker now", pool)
		}
	}
	for i, p := range pools {
		if _, ok := used[p]; !ok && p != "" && first[p] == i {
			c.report(Warning, RuleUnused, fmt.Sprintf("%s[%d].%s", c.Pools, i, c.Name), "%q is used by no entry of %s", p, c.Queues)
		}
	}
}

// compare returns the differences from the configuration in force, and reports a version that does not replace it.
func (c *checker) compare(running *Running) []Change {
	old, _ := ParseDocument(running.Text)
	changes := Diff(old, c.Document, c.Name)
	if len(changes) > 0 && running.Text != nil && c.config != nil && c.config.Version <= running.Version {
		c.report(Error, RuleVersion, c.Version, "must be above %d, the version in force, or no instance applies it", running.Version)
	}
	return changes
}
