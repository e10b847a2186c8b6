package entry

import (
	"bytes"
	"encoding/json"
)

// Splitting of JSON. No function here copies what it splits. What they return begins and ends as
// a value does; only where the whole is known to be valid is it one.

// trim takes off the white space around a value.
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

// inside returns what stands between the brackets of an object or a list.
func inside(value []byte) []byte { return trim(value[1 : len(value)-1]) }

// next returns the first value of what stands between brackets, and the rest behind the separator
// after it, if there is one. It says whether the text is so.
func next(text []byte, separator byte) (value, rest []byte, ok bool) {
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

// valueEnd returns where the value ends with which the text begins, 0 if it does not end there.
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

// literalEnd returns where the number, true, false or null ends with which the text begins.
func literalEnd(text []byte) int {
	for i, b := range text {
		if b == ',' || isSpace(b) {
			return i
		}
	}
	return len(text)
}

// stringEnd returns where the string ends with which the text begins, 0 if it does not.
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

// nestedEnd returns where the object or list ends with which the text begins, 0 if it does not.
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

// isNumber says whether a JSON value is a number.
func isNumber(value []byte) bool {
	return value[0] == '-' || value[0] >= '0' && value[0] <= '9'
}

// unquote returns the text of a JSON string, without a copy where nothing in it is escaped.
func unquote(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		return nil // only where it is not known to be valid
	}
	return []byte(text)
}
