package entry

import (
	"bytes"
	"encoding/json"
)

// Splitting of JSON that is known to be valid. No function here copies what it splits.

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

// next returns the first value of what stands between brackets, and the rest behind the comma
// or colon after it.
func next(text []byte) (value, rest []byte) {
	end := valueEnd(text)
	value, rest = text[:end:end], trim(text[end:])
	if len(rest) > 0 {
		rest = trim(rest[1:])
	}
	return value, rest
}

// valueEnd returns where the value ends with which the text begins.
func valueEnd(text []byte) int {
	switch text[0] {
	case '"':
		return stringEnd(text)
	case '{', '[':
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

// stringEnd returns where the string ends with which the text begins.
func stringEnd(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// nestedEnd returns where the object or list ends with which the text begins.
func nestedEnd(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringEnd(text[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
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
		return nil // it is known to be valid
	}
	return []byte(text)
}
