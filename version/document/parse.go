package document

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/pomelospool/pomelospool/internal/yamlcheck"
	"github.com/pomelospool/pomelospool/port"
)

// MaxBytes is the maximum size of a document, which must fit in one log record.
const MaxBytes = 256 << 10

// Defaults of optional keys.
const (
	defaultTarget           = 0.95
	defaultWindow           = 30 * 24 * time.Hour
	defaultBodyBytes        = 1 << 20
	defaultStreamsPerCaller = 64
	defaultQueuePerTarget   = 64
	defaultDeadlineFactor   = 4
	defaultAttempts         = 3
	defaultBudget           = 0.1
	defaultOnceWindow       = time.Hour
	defaultGoodputWeight    = 0.5
	defaultMinEngines       = 1
	defaultMaxChanging      = 1
	defaultChangeTime       = 10 * time.Second
	defaultMinDwell         = time.Minute
)

// Problem is one error in a document, with its position and code.
type Problem = yamlcheck.Problem

// Parse decodes and checks a document. It returns either a complete document
// with all defaults filled in, or nil and every problem found. file is the
// name of the document in the problems.
func Parse(file string, data []byte) (*Document, []*Problem) {
	d := withDefaults()
	f := yamlcheck.Decode(file, data, MaxBytes, d)
	if f.Failed() {
		return nil, f.Problems()
	}
	fillDefaults(f, d)
	check(f, d)
	if f.Failed() {
		return nil, f.Problems()
	}
	return d, nil
}

func withDefaults() *Document {
	return &Document{
		Objectives: Objectives{Target: defaultTarget, Window: defaultWindow},
		Limits: Limits{
			BodyBytes:        defaultBodyBytes,
			StreamsPerCaller: defaultStreamsPerCaller,
			QueuePerTarget:   defaultQueuePerTarget,
		},
		Retry: Retry{Attempts: defaultAttempts, Budget: defaultBudget},
	}
}

// Marshal encodes a document so that Parse returns an equal one.
func Marshal(d *Document) ([]byte, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("marshal document of %s: %w", d.Service, err)
	}
	return data, nil
}

// fillDefaults sets the keys missing from the file whose defaults depend on
// other keys.
func fillDefaults(f *yamlcheck.File, d *Document) {
	if !f.Has("limits.max_deadline") {
		d.Limits.MaxDeadline = min(defaultDeadlineFactor*d.Objectives.Answer, maxDeadline)
	}
	if len(d.Once.Paths) > 0 && !f.Has("once.window") {
		d.Once.Window = defaultOnceWindow
	}
	if d.Kind == KindModel {
		fillModelDefaults(f, d)
	}
}

func fillModelDefaults(f *yamlcheck.File, d *Document) {
	largest := 0
	for _, m := range d.Models {
		largest = max(largest, m.MaxTokens)
	}
	setDefault(f, "limits.prompt_tokens", &d.Limits.PromptTokens, largest)
	setDefault(f, "limits.output_tokens", &d.Limits.OutputTokens, largest)
	setDefault(f, "roles.goodput_weight", &d.Roles.GoodputWeight, defaultGoodputWeight)
	setDefault(f, "roles.min_prefill", &d.Roles.MinPrefill, defaultMinEngines)
	setDefault(f, "roles.min_decode", &d.Roles.MinDecode, defaultMinEngines)
	setDefault(f, "roles.max_changing", &d.Roles.MaxChanging, defaultMaxChanging)
	setDefault(f, "roles.change_time", &d.Roles.ChangeTime, defaultChangeTime)
	setDefault(f, "roles.min_dwell", &d.Roles.MinDwell, defaultMinDwell)
	for i := range d.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		setDefault(f, path+".role", &d.Targets[i].Role, port.RoleMixed)
		if len(d.Models) == 1 {
			setDefault(f, path+".model", &d.Targets[i].Model, d.Models[0].Name)
		}
	}
}

// setDefault sets v to value unless the file has the key.
func setDefault[T any](f *yamlcheck.File, path string, v *T, value T) {
	if !f.Has(path) {
		*v = value
	}
}
