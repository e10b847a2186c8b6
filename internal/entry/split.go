// This file splits encoded JSON without copying it, and decodes JSON strings. The functions check
// only the delimiters of the values that they return; the values are valid JSON only if the whole
// input is.

package entry

import (
	"bytes"
	"encoding/json"
)

// trim removes leading and trailing JSON white space.
func trim(value []byte) []byte {
	for len(value) > 0 && isSpace(value[0]) {
		value = value[1:]
	}
	for len(value) > 0 && isSpace(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	return value
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// contents returns the trimmed text between the brackets of an object or a list.
func contents(value []byte) []byte { return trim(value[1 : len(value)-1]) }

// splitValue splits text into its first value and the rest after the separator. The rest is empty
// for the last value. ok is false if the text is malformed.
func splitValue(text []byte, separator byte) (value, rest []byte, ok bool) {
	end := valueEnd(text)
	if end == 0 {
		return nil, nil, false
	}
	value, rest = text[:end:end], trim(text[end:])
	if len(rest) == 0 {
		return value, nil, true
	}
	if rest[0] != separator {
		return nil, nil, false
	}
	rest = trim(rest[1:])
	return value, rest, len(rest) > 0
}

// valueEnd returns the end of the value at the start of text, or 0 if the value is incomplete.
func valueEnd(text []byte) int {
	switch {
	case len(text) == 0:
		return 0
	case text[0] == '"':
		return stringEnd(text)
	case text[0] == '{' || text[0] == '[':
		return nestedEnd(text)
	default:
		return literalEnd(text)
	}
}

// literalEnd returns the end of the number, true, false or null at the start of text.
func literalEnd(text []byte) int {
	for i, b := range text {
		if b == ',' || isSpace(b) {
			return i
		}
	}
	return len(text)
}

// stringEnd returns the end of the string at the start of text, or 0 if it is unterminated.
func stringEnd(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// nestedEnd returns the end of the object or list at the start of text, or 0 if it is unterminated.
func nestedEnd(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			length := stringEnd(text[i:])
			if length == 0 {
				return 0
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
	return 0
}

// isNumber reports whether an encoded value begins like a number.
func isNumber(value []byte) bool {
	return value[0] == '-' || value[0] >= '0' && value[0] <= '9'
}

// unquote returns the text of a JSON string. It copies only if the string contains escapes.
func unquote(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		return nil // possible only for unvalidated input
	}
	return []byte(text)
}
