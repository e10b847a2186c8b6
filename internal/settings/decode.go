// This file converts values of the YAML file and of flags to the types of the settings fields.

package settings

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"time"
)

// Errors of decode. Each describes the values that the field's type accepts. The caller adds the
// field's key and the kind fault.Invalid.
var (
	errNotString   = errors.New("must be a string; put it in quotes")
	errNotInteger  = errors.New("must be a whole number")
	errNotNumber   = errors.New("must be a number")
	errNotDuration = errors.New("must be a duration with a unit, such as 90s or 5m")
	errNotSingle   = errors.New("must be a single value")
	errNotList     = errors.New("must be a list")
)

var durationType = reflect.TypeFor[time.Duration]()

// decode converts raw, a value of the YAML file or a flag, to the type of target and stores it
// there. Strings are parsed as the type of target, because flags are strings. Numbers are not
// converted to strings, nor fractions to whole numbers.
func decode(target reflect.Value, raw any) error {
	if target.Kind() == reflect.Slice {
		return decodeList(target, raw)
	}
	switch value := raw.(type) {
	case string:
		return decodeText(target, value)
	case int:
		switch target.Kind() {
		case reflect.Int:
			target.SetInt(int64(value))
		case reflect.Float64:
			target.SetFloat(float64(value))
		default:
			return typeError(target)
		}
		return nil
	case float64:
		if target.Kind() != reflect.Float64 {
			return typeError(target)
		}
		target.SetFloat(value)
		return nil
	case nil:
		return errors.New("must have a value or be omitted")
	default:
		return typeError(target)
	}
}

// decodeList sets target to the entries of raw, or to one entry if raw is a string.
func decodeList(target reflect.Value, raw any) error {
	if text, ok := raw.(string); ok {
		raw = []string{text}
	}
	items := reflect.ValueOf(raw)
	if items.Kind() != reflect.Slice {
		return errNotList
	}
	list := reflect.MakeSlice(target.Type(), items.Len(), items.Len())
	for i := range items.Len() {
		if err := decode(list.Index(i), items.Index(i).Interface()); err != nil {
			return fmt.Errorf("entry %d %w", i+1, err)
		}
	}
	target.Set(list)
	return nil
}

// decodeText sets target to the value that text has in the type of target.
func decodeText(target reflect.Value, text string) error {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			return typeError(target)
		}
		return nil
	}
	switch {
	case target.Type() == durationType:
		return decodeDuration(target, text)
	case target.Kind() == reflect.Int:
		return decodeInteger(target, text)
	case target.Kind() == reflect.Float64:
		return decodeNumber(target, text)
	case target.Kind() == reflect.String:
		target.SetString(text)
		return nil
	default:
		return fmt.Errorf("has unsupported type %s", target.Type())
	}
}

func decodeDuration(target reflect.Value, text string) error {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return errNotDuration
	}
	target.SetInt(int64(duration))
	return nil
}

func decodeInteger(target reflect.Value, text string) error {
	number, err := strconv.Atoi(text)
	if err != nil {
		return errNotInteger
	}
	target.SetInt(int64(number))
	return nil
}

func decodeNumber(target reflect.Value, text string) error {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return errNotNumber
	}
	target.SetFloat(number)
	return nil
}

// typeError returns the error that describes the values that the target's type accepts.
func typeError(target reflect.Value) error {
	switch {
	case target.Type() == addressType:
		return errors.New("must be " + addressForm)
	case target.Type() == durationType:
		return errNotDuration
	case target.Kind() == reflect.Int:
		return errNotInteger
	case target.Kind() == reflect.Float64:
		return errNotNumber
	case target.Kind() == reflect.String:
		return errNotString
	default:
		return errNotSingle
	}
}
