// This file validates decoded settings against the rule of each field and the rules that span
// several sections, and describes the rules in error messages. It also validates a URL of the
// platform's API.

package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// addressForm describes a valid socket address in error messages.
const addressForm = "an IP address and a port above 0, such as 192.0.2.1:7000"

// Names of the rules that this package adds to those of the validator.
const (
	ruleName                = "name"
	ruleAddress             = "address"
	ruleLoopback            = "loopback"
	ruleDistinct            = "distinct"
	ruleConfigurationSource = "some-source"
	ruleHandshake           = "handshake"
)

// ruleTexts describes the requirement of each rule; %s stands for the rule's parameter. A rule
// without an entry, such as omitempty or dive, only controls how the validator applies the others
// and is not shown.
var ruleTexts = map[string]string{
	"required":              "must be given",
	"min":                   "must be at least %s",
	"max":                   "must be at most %s",
	"oneof":                 "must be one of: %s",
	"http_url":              "must be an absolute http or https URL",
	"unique":                "must not list an entry twice",
	ruleName:                fmt.Sprintf("must be 1 to %d lower-case letters, digits, dots or hyphens", catalog.MaxNameLength),
	ruleAddress:             "must be " + addressForm,
	ruleLoopback:            "must be a loopback address",
	ruleDistinct:            "must differ from %s",
	ruleConfigurationSource: "must be given where peers.seeds is empty",
	ruleHandshake:           "must be given where flows.transport is handshake",
}

var (
	addressType       = reflect.TypeFor[netip.AddrPort]()
	settingsValidator = newSettingsValidator()
)

func newSettingsValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(keyTag) })
	validate.RegisterCustomTypeFunc(addressText, netip.AddrPort{})
	registerRule(validate, ruleName, isName)
	registerRule(validate, ruleAddress, isAddress)
	registerRule(validate, ruleDistinct, isDistinct)
	validate.RegisterStructValidation(checkSettings, Settings{})
	return validate
}

func registerRule(validate *validator.Validate, name string, rule validator.Func) {
	if err := validate.RegisterValidation(name, rule); err != nil {
		panic(fmt.Sprintf("settings: register rule %q: %v", name, err)) // programming error in this file
	}
}

// addressText converts an address to the text that the validator checks, or to "" if the address is
// not set, so that omitempty and required apply.
func addressText(value reflect.Value) any {
	address := value.Interface().(netip.AddrPort)
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func isName(level validator.FieldLevel) bool {
	return catalog.ValidName(level.Field().String())
}

func isAddress(level validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(level.Field().String())
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// isDistinct reports whether the address differs from another address of the same section. The
// rule's parameter is the key of the other address within the section. An unknown key violates the
// rule.
func isDistinct(level validator.FieldLevel) bool {
	for _, other := range fieldsOfSection("", level.Parent()) {
		if other.key == level.Param() {
			return addressText(other.value) != level.Field().String()
		}
	}
	return false
}

// checkSettings checks the rules that span several sections.
func checkSettings(level validator.StructLevel) {
	settings := level.Current().Interface().(Settings)
	checkConfigurationSource(level, &settings)
	checkHandshake(level, &settings)
	checkMetrics(level, &settings)
}

// checkMetrics requires a loopback address for metrics, which are served without authentication.
// With the transport handshake, any address is allowed, because the platform collects the metrics.
func checkMetrics(level validator.StructLevel, settings *Settings) {
	address := settings.Node.MetricsAddress
	if address.IsValid() && !address.Addr().IsLoopback() && settings.Flows.Transport != TransportHandshake {
		level.ReportError(address, "node.metrics-address", "MetricsAddress", ruleLoopback, "")
	}
}

// checkHandshake requires the addresses that the transport handshake needs. Those of the back end
// are required if backend.service is set, that is, for an agent.
func checkHandshake(level validator.StructLevel, settings *Settings) {
	if settings.Flows.Transport != TransportHandshake {
		return
	}
	require := func(address netip.AddrPort, key, field string) {
		if !address.IsValid() {
			level.ReportError("", key, field, ruleHandshake, "")
		}
	}
	require(settings.Node.PeerAddress, "node.peer-address", "PeerAddress")
	require(settings.Node.ReadyAddress, "node.ready-address", "ReadyAddress")
	if settings.Backend.Service == "" {
		return
	}
	require(settings.Backend.Address, "backend.address", "Address")
	require(settings.Backend.OutboundAddress, "backend.outbound-address", "OutboundAddress")
}

// checkConfigurationSource requires a source of the configuration: the platform or a seed.
func checkConfigurationSource(level validator.StructLevel, settings *Settings) {
	if settings.Platform.URL == "" && len(settings.Peers.Seeds) == 0 {
		level.ReportError(settings.Platform.URL, "platform.url", "URL", ruleConfigurationSource, "")
	}
}

// checkFields returns an error of kind fault.Invalid for each field that violates a rule. It skips
// the fields whose keys are in skip.
func checkFields(settings *Settings, skip []string) []error {
	err := settingsValidator.Struct(settings)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	var problems []error
	for _, violation := range violations {
		_, key, _ := strings.Cut(violation.Namespace(), keyDelimiter)
		if isSkipped(key, skip) {
			continue
		}
		problems = append(problems, fault.InvalidField(key, violation.Value(), ruleText(violation.Tag(), violation.Param())))
	}
	return problems
}

// isSkipped reports whether the key is in skip. The key of a list entry, such as peers.seeds[1], is
// skipped if that of the list is.
func isSkipped(key string, skip []string) bool {
	list, _, _ := strings.Cut(key, "[")
	return slices.Contains(skip, list)
}

// ruleText describes the requirement of a rule, or returns "" if the rule is not shown.
func ruleText(rule, parameter string) string {
	text := ruleTexts[rule]
	if !strings.Contains(text, "%s") {
		return text
	}
	return fmt.Sprintf(text, strings.ReplaceAll(parameter, " ", ", "))
}

// CheckPlatformURL validates a base URL of the platform's object API, for callers that have the URL
// but no Settings value. Errors are of kind fault.Invalid.
func CheckPlatformURL(url string) error {
	const rule = "http_url"
	if settingsValidator.Var(url, rule) == nil {
		return nil
	}
	return fault.InvalidField("platform.url", url, ruleText(rule, ""))
}
