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

// maximumTypoDistance is the largest number of changed characters at which a
// known key is offered in place of an unknown one.
const maximumTypoDistance = 4

// Load reads the YAML file at path, puts the overrides above it and the
// defaults below it, and checks the result. An empty path means no file. A file
// that cannot be read gives fault.NotFound; anything else that is wrong gives
// one error of kind fault.Invalid that joins an entry for each bad field.
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
	problems = append(problems, check(&settings, undecoded)...)
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

// applyOverrides puts the values given on the command line above those of the file.
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

// unknownKeys reports each key of the source that no field has.
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

func unknownKeyRule(key string, fields []field) string {
	nearest, distance := "", maximumTypoDistance+1
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

// decodeFields sets each field that the source holds. It returns the keys of
// the fields whose value has the wrong form, and an error for each.
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
