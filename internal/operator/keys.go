package operator

import (
	"net/netip"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/keys"
)

// KeysCommand holds the commands for certificates.
type KeysCommand struct {
	Init  KeysInitCommand  `cmd:"" help:"Create the authority that signs certificates."`
	Issue KeysIssueCommand `cmd:"" help:"Create or replace the certificate of one instance."`
}

// KeysInitCommand creates a certificate authority.
type KeysInitCommand struct {
	Dir string `required:"" type:"path" help:"Directory of the keys; it is created if it does not exist."`
}

// Run implements the command.
func (c *KeysInitCommand) Run(e *Env) error {
	if err := keys.CreateAuthority(c.Dir); err != nil {
		return err
	}
	return e.printResult(struct {
		Dir string `json:"dir"`
	}{c.Dir}, "The authority was created in %s. Keep ca-key.pem off the entry instances.", c.Dir)
}

// KeysIssueCommand issues the certificate of an instance.
type KeysIssueCommand struct {
	Dir      string        `required:"" type:"existingdir" help:"Directory of the keys."`
	ID       string        `arg:"" help:"Id of the instance."`
	Role     string        `required:"" enum:"gateway,scheduler" help:"Role of the instance: gateway or scheduler."`
	IP       []netip.Addr  `help:"Address under which peers call the instance; repeatable."`
	Validity time.Duration `default:"2160h" help:"Time for which the certificate is valid."`
}

// issueResult is the result of the command keys issue.
type issueResult struct {
	ID    string    `json:"id"`
	Role  string    `json:"role"`
	Until time.Time `json:"until"`
}

// Run implements the command.
func (c *KeysIssueCommand) Run(e *Env) error {
	if err := keys.Issue(c.Dir, instance.ID(c.ID), instance.Role(c.Role), c.IP, c.Validity); err != nil {
		return err
	}
	out := issueResult{ID: c.ID, Role: c.Role, Until: e.now().Add(c.Validity).UTC()}
	return e.printResult(out, "The certificate of %s %s was issued and is valid until %s UTC.", c.Role, c.ID,
		formatTime(out.Until))
}
