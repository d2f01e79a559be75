package ctl

import (
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/codedoc"
)

const (
	explainHelp    = `Explains a code by its number or name, or lists all without an argument.`
	completionHelp = `Prints a script for the shell (bash). Load it by: source <(pomelosctl completion bash)`
)

type explainCommand struct {
	app  *app
	Args struct {
		Code codeName `positional-arg-name:"CODE" description:"Number or name, as 5001 or BASE_CONFLICT"`
	} `positional-args:"yes"`
}

// codeName is the number or the name of a code, as given on the command line.
type codeName string

// Complete implements flags.Completer. It lists the codes that begin with match.
func (codeName) Complete(match string) []flags.Completion {
	var out []flags.Completion
	for _, i := range code.All() {
		for _, item := range []string{strconv.Itoa(int(i.Code)), i.Name} {
			if strings.HasPrefix(item, strings.ToUpper(match)) {
				out = append(out, flags.Completion{Item: item})
			}
		}
	}
	return out
}

// matches reports whether n names the code. An empty n matches every code.
func (n codeName) matches(i code.Info) bool {
	return n == "" || string(n) == strconv.Itoa(int(i.Code)) || strings.EqualFold(string(n), i.Name)
}

// explainReport is the JSON output of the explain command for one code.
type explainReport struct {
	Code    code.Code `json:"code"`
	Name    string    `json:"name"`
	Status  int       `json:"status"`
	Ran     string    `json:"ran"` // yes, no, maybe, or - if the code isn't about a request
	Meaning string    `json:"meaning"`
	Action  string    `json:"action"`
}

// Execute explains one code or lists all.
func (c *explainCommand) Execute([]string) error {
	var found []explainReport
	for _, i := range code.All() {
		if c.Args.Code.matches(i) {
			found = append(found, explainReport{i.Code, i.Name, i.Status, codedoc.Ran(i), i.Meaning, i.Action})
		}
	}
	if len(found) == 0 {
		return usageError("no code " + string(c.Args.Code) + "; explain without an argument lists all")
	}
	if c.app.JSON {
		return c.app.printJSON(found)
	}
	if c.Args.Code == "" {
		for _, i := range found {
			c.app.printf("%4d %-22s %s\n", int(i.Code), i.Name, i.Meaning)
		}
		return nil
	}
	i := found[0]
	c.app.printf("%d %s (HTTP %d)\n%s\nWas it run: %s\nWhat to do: %s\n", int(i.Code), i.Name, i.Status, i.Meaning, i.Ran, i.Action)
	return nil
}

type versionCommand struct{ app *app }

// versionReport is the JSON output of the version command.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
}

// Execute prints the version and revision from the build information.
func (c *versionCommand) Execute([]string) error {
	b := versionReport{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		b.Version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				b.Revision = s.Value
			}
		}
	}
	if c.app.JSON {
		return c.app.printJSON(b)
	}
	c.app.printf("pomelosctl %s %s\n", b.Version, b.Revision)
	return nil
}

type completionCommand struct {
	app  *app
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash"`
	} `positional-args:"yes" required:"yes"`
}

// bashScript calls pomelosctl for completions. With GO_FLAGS_COMPLETION set,
// go-flags prints them instead of running a command.
const bashScript = `_pomelosctl() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
	return 0
}
complete -o default -F _pomelosctl pomelosctl
`

// completionReport is the JSON output of the completion command.
type completionReport struct {
	Shell  string `json:"shell"`
	Script string `json:"script"`
}

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	if c.Args.Shell != "bash" {
		return usageError("completion knows bash only")
	}
	if c.app.JSON {
		return c.app.printJSON(completionReport{Shell: c.Args.Shell, Script: bashScript})
	}
	c.app.printf("%s", bashScript)
	return nil
}
