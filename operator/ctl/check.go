package ctl

import (
	"os"

	"github.com/jessevdk/go-flags"
	"gopkg.in/yaml.v3"

	"github.com/pomelospool/pomelospool/internal/yamlcheck"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/version/document"
)

const checkHelp = `Checks files without a network. A file with one of the keys vm, listen or
platform is taken for daemon settings, any other for a service document; NAME.toml
for the deploy file of a platform with a store, NAME.tmpl for the template of its
settings, which is filled with example values.
Each problem is one line: FILE:LINE:COLUMN: KEY: what is wrong; what would be
right (code).`

type checkCommand struct {
	app  *app
	Args struct {
		Files []flags.Filename `positional-arg-name:"FILE" description:"Documents and settings" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// checkReport is the JSON output of the check command for one file.
type checkReport struct {
	File     string               `json:"file"`
	Kind     string               `json:"kind"` // document, settings, deploy file or template
	Problems []*yamlcheck.Problem `json:"problems"`
}

// Execute checks every file and returns an error if any has problems.
func (c *checkCommand) Execute([]string) error {
	var reports []checkReport
	var all []*yamlcheck.Problem
	for _, file := range c.Args.Files {
		r, err := checkFile(string(file))
		if err != nil {
			return err
		}
		reports = append(reports, r)
		all = append(all, r.Problems...)
	}
	err := yamlcheck.AsError(all)
	if c.app.JSON {
		if printErr := c.app.printJSON(reports); printErr != nil {
			return printErr
		}
	} else {
		c.print(reports)
	}
	if err != nil {
		return printedError{err}
	}
	return nil
}

func (c *checkCommand) print(reports []checkReport) {
	for _, r := range reports {
		for _, p := range r.Problems {
			c.app.printf("%s\n", p.Error())
		}
		if len(r.Problems) == 0 {
			c.app.printf("%s: valid %s\n", r.File, r.Kind)
		}
	}
}

// checkFile checks one file as the kind that its name and contents indicate.
func checkFile(file string) (checkReport, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return checkReport{}, err
	}
	r := checkReport{File: file, Kind: "document", Problems: []*yamlcheck.Problem{}}
	var problems []*yamlcheck.Problem
	switch {
	case platform.IsDeploy(file):
		r.Kind = "deploy file"
		problems = platform.CheckDeploy(file, data)
	case platform.IsTemplate(file):
		r.Kind = "template"
		problems = checkTemplate(file, data)
	case isSettings(data):
		r.Kind = "settings"
		_, problems = settings.Parse(file, data)
	default:
		_, problems = document.Parse(file, data)
	}
	r.Problems = append(r.Problems, problems...)
	return r, nil
}

// checkTemplate fills a template with example values and checks the resulting
// settings.
func checkTemplate(file string, data []byte) []*yamlcheck.Problem {
	filled, problems := platform.FillTemplate(file, data)
	if len(problems) > 0 {
		return problems
	}
	_, problems = settings.Parse(file, filled)
	return problems
}

// isSettings reports whether data is settings rather than a document, by its
// top-level keys. A file that doesn't parse counts as a document; checking it as
// one reports the error.
func isSettings(data []byte) bool {
	var top struct {
		VM       yaml.Node `yaml:"vm"`
		Listen   yaml.Node `yaml:"listen"`
		Platform yaml.Node `yaml:"platform"`
	}
	if len(data) > document.MaxBytes || yaml.Unmarshal(data, &top) != nil {
		return false
	}
	return !top.VM.IsZero() || !top.Listen.IsZero() || !top.Platform.IsZero()
}
