package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// CompletionCommand prints a completion script.
type CompletionCommand struct {
	Shell string `arg:"" enum:"bash,zsh" help:"Shell: bash or zsh."`
}

// Run prints the completion script for the shell.
func (c *CompletionCommand) Run(e *Env, app *kong.Application) error {
	if c.Shell == "zsh" {
		// zsh runs the bash function through bashcompinit.
		if _, err := io.WriteString(e.out,
			"#compdef "+Name+"\nautoload -U +X bashcompinit && bashcompinit\n"); err != nil {
			return errors.WithStack(err)
		}
	}
	_, err := io.WriteString(e.out, completionScript(app))
	return errors.WithStack(err)
}

// completionScript returns a bash script whose completion function has one case for each command, so that completion
// does not start the program.
func completionScript(app *kong.Application) string {
	var b strings.Builder
	fmt.Fprintf(&b, `_%[1]s() {
  local cur=${COMP_WORDS[COMP_CWORD]} path="" word words
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$path $word" in
`, Name)
	eachCommand(app.Node, "", func(path string, _ *kong.Node) {
		if path != "" {
			fmt.Fprintf(&b, "      %q) path=%q ;;\n", path, path)
		}
	})
	b.WriteString("    esac\n  done\n  case \"$path\" in\n")
	eachCommand(app.Node, "", func(path string, n *kong.Node) {
		fmt.Fprintf(&b, "    %q) words=%q ;;\n", path, strings.Join(completions(app, n), " "))
	})
	fmt.Fprintf(&b, `  esac
  COMPREPLY=($(compgen -W "$words" -- "$cur"))
}
complete -o default -F _%[1]s %[1]s
`, Name)
	return b.String()
}

// eachCommand calls f for the program and every command. A path is the names with a blank before each, such as
// " report cost"; that of the program is empty.
func eachCommand(n *kong.Node, path string, f func(path string, n *kong.Node)) {
	f(path, n)
	for _, child := range n.Children {
		if child.Type == kong.CommandNode {
			eachCommand(child, path+" "+child.Name, f)
		}
	}
}

// completions returns the words that can follow a command: its subcommands, the values of its arguments and its flags.
func completions(app *kong.Application, n *kong.Node) []string {
	var out []string
	for _, child := range n.Children {
		if child.Type == kong.CommandNode {
			out = append(out, child.Name)
		}
	}
	for _, p := range n.Positional {
		out = append(out, p.EnumSlice()...)
	}
	flags := n.Flags
	if n != app.Node {
		flags = append(append([]*kong.Flag(nil), flags...), app.Flags...)
	}
	for _, f := range flags {
		out = append(out, "--"+f.Name)
	}
	return out
}
