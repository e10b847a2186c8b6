// This file declares a flag for each setting, and returns the settings given on the command line as
// overrides.

package settings

import (
	"github.com/alecthomas/kingpin/v2"
)

// FlagSet is the part of a kingpin application or command that BindFlags uses.
type FlagSet interface {
	Flag(name, help string) *kingpin.FlagClause
}

// Override is one setting given on the command line.
type Override struct {
	Key    string   // full key, such as "node.id"
	Values []string // as typed; more than one only for a list
}

// Flags contains the flags that BindFlags added, one for each setting.
type Flags struct {
	flags []*boundFlag
}

type boundFlag struct {
	key    string   // of the setting
	given  bool     // set by kingpin if the flag is on the command line
	values []string // as typed; exactly one unless the setting is a list
}

// BindFlags adds a flag for each setting to the set. The name of the flag is the setting's key.
func BindFlags(set FlagSet) *Flags {
	bound := &Flags{}
	defaults := Default()
	for _, field := range fieldsOf(&defaults) {
		flag := &boundFlag{key: field.key}
		flag.bind(set.Flag(field.key, field.help), field.isList())
		bound.flags = append(bound.flags, flag)
	}
	return bound
}

func (f *boundFlag) bind(clause *kingpin.FlagClause, list bool) {
	clause.IsSetByUser(&f.given)
	if list {
		clause.StringsVar(&f.values)
		return
	}
	f.values = make([]string, 1)
	clause.StringVar(&f.values[0])
}

// Overrides returns the settings whose flags were given. Call it after the command line is parsed.
func (f *Flags) Overrides() []Override {
	var overrides []Override
	for _, flag := range f.flags {
		if flag.given {
			overrides = append(overrides, Override{Key: flag.key, Values: flag.values})
		}
	}
	return overrides
}
