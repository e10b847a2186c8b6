// This file loads settings from the defaults, the YAML file and the command line, in ascending
// precedence, and reports every invalid field and unknown key.

package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"

	"github.com/burlmill/burlmill/fault"
)

// maxTypoDistance is the maximum edit distance, in characters, at which a known key is suggested
// for an unknown one.
const maxTypoDistance = 4

// Load reads the YAML file at path and returns the validated settings. Overrides take precedence
// over the file, and the file takes precedence over Default. An empty path means no file. The error
// is of kind fault.NotFound if the file cannot be read, and of kind fault.Invalid otherwise. If the
// file is valid YAML, the error joins one error for each invalid field and each unknown key.
func Load(path string, overrides []Override) (Settings, error) {
	source := koanf.New(keyDelimiter)
	if err := loadFile(source, path); err != nil {
		return Settings{}, err
	}
	problems := applyOverrides(source, overrides)
	settings := Default()
	fields := fieldsOf(&settings)
	problems = append(problems, unknownKeys(source, fields)...)
	undecoded, decodeProblems := decodeFields(source, fields)
	problems = append(problems, decodeProblems...)
	problems = append(problems, checkFields(&settings, undecoded)...)
	if err := errors.Join(problems...); err != nil {
		return Settings{}, fmt.Errorf("settings are not valid:\n%w", err)
	}
	return settings, nil
}

func loadFile(source *koanf.Koanf, path string) error {
	if path == "" {
		return nil
	}
	err := source.Load(file.Provider(path), yaml.Parser())
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return fault.Wrap(fault.NotFound, err, "read settings")
	}
	return fault.Wrap(fault.Invalid, err, "settings file %q is not valid YAML", path)
}

// applyOverrides replaces values of the file with those of the command line. It returns an error
// for each override that the source rejects.
func applyOverrides(source *koanf.Koanf, overrides []Override) []error {
	var problems []error
	for _, override := range overrides {
		var value any = override.Values
		if len(override.Values) == 1 {
			value = override.Values[0]
		}
		if err := source.Set(override.Key, value); err != nil {
			problems = append(problems, fault.InvalidField(override.Key, value, err.Error()))
		}
	}
	return problems
}

// unknownKeys returns an error for each key of the source that is not the key of a field.
func unknownKeys(source *koanf.Koanf, fields []field) []error {
	var problems []error
	for _, key := range source.Keys() {
		isKnown := func(f field) bool { return f.key == key }
		if slices.ContainsFunc(fields, isKnown) {
			continue
		}
		problems = append(problems, fault.InvalidField(key, source.Get(key), unknownKeyRule(key, fields)))
	}
	return problems
}

// unknownKeyRule describes what is wrong with an unknown key. It suggests the nearest known key if
// that is within maxTypoDistance.
func unknownKeyRule(key string, fields []field) string {
	nearest, distance := "", maxTypoDistance+1
	for _, field := range fields {
		if field.key == sectionOf(key) || sectionOf(field.key) == key {
			return fmt.Sprintf("must be a section, with keys such as %s", field.key)
		}
		if strings.HasPrefix(key, field.key+keyDelimiter) {
			return fmt.Sprintf("%s must be a single value", field.key)
		}
		if d := levenshtein.ComputeDistance(key, field.key); d < distance {
			nearest, distance = field.key, d
		}
	}
	if nearest == "" {
		return "is not a known key"
	}
	return fmt.Sprintf("is not a known key; nearest is %s", nearest)
}

// decodeFields sets each field that the source has a value for. It returns the keys of the fields
// whose values cannot be decoded, and an error for each.
func decodeFields(source *koanf.Koanf, fields []field) (undecoded []string, problems []error) {
	for _, field := range fields {
		if !source.Exists(field.key) {
			continue
		}
		raw := source.Get(field.key)
		if err := decode(field.value, raw); err != nil {
			undecoded = append(undecoded, field.key)
			problems = append(problems, fault.InvalidField(field.key, raw, err.Error()))
		}
	}
	return undecoded, problems
}
