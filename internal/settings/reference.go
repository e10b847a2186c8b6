// This file generates the reference page of the settings.

package settings

import (
	"fmt"
	"strings"
)

// referenceIntroduction is the start of the reference page, docs/SETTINGS.md, up to the table of
// settings.
const referenceIntroduction = `# Settings

A process reads its settings once, at start, from a YAML file (` + "`--settings FILE`" + `)
and from flags. A flag wins over the file, and the file over the default. Each
key below is also a flag: ` + "`node.id`" + ` is ` + "`--node.id`" + `, and in the file

    node:
      id: balancer-1

An unknown key or a value that breaks its rule stops the process before it does
anything else; ` + "`burlmill check FILE`" + ` lists every such field. One of ` + "`platform.url`" + `
and ` + "`peers.seeds`" + ` must be given.

This page is written by ` + "`burlmill reference`" + ` and checked by a test.

| Key | Default | Rule | Meaning |
|---|---|---|---|
`

// Reference returns the reference page of all settings, in Markdown.
func Reference() string {
	var page strings.Builder
	page.WriteString(referenceIntroduction)
	defaults := Default()
	for _, field := range fieldsOf(&defaults) {
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", field.key, defaultText(&field), rulesText(field.rule), field.help)
	}
	return page.String()
}

// defaultText describes the default of a field. The zero value counts as no default.
func defaultText(field *field) string {
	if field.value.IsZero() {
		return "none"
	}
	return fmt.Sprintf("`%v`", field.value.Interface())
}

// rulesText describes the rules of a validate tag, separated by semicolons.
func rulesText(tag string) string {
	var texts []string
	for rule := range strings.SplitSeq(tag, ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		if text := ruleText(name, parameter); text != "" {
			texts = append(texts, text)
		}
	}
	return strings.Join(texts, "; ")
}
