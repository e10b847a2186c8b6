// This file parses the input of commands: services in YAML or JSON, site shares and expected
// versions.

package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// ParseServices parses one or more services from YAML or JSON. Each document is a service or a list
// of services. The error is of kind fault.Invalid. It joins the errors of all services, or contains
// only the syntax error if the data is not valid YAML.
func ParseServices(data []byte) ([]catalog.Service, error) {
	var services []catalog.Service
	var problems []error
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var document any
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "not valid YAML")
		}
		parsed, err := parseDocument(document)
		services = append(services, parsed...)
		problems = append(problems, err)
	}
	problems = append(problems, checkDuplicateNames(services))
	if err := errors.Join(problems...); err != nil {
		return nil, err
	}
	if len(services) == 0 {
		return nil, fault.New(fault.Invalid, "no service given")
	}
	return services, nil
}

func parseDocument(document any) ([]catalog.Service, error) {
	entries, isList := document.([]any)
	if !isList {
		entries = []any{document}
	}
	var services []catalog.Service
	var problems []error
	for _, entry := range entries {
		service, err := parseService(entry)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		services = append(services, service)
	}
	return services, errors.Join(problems...)
}

func parseService(entry any) (catalog.Service, error) {
	fields, isObject := entry.(map[string]any)
	if !isObject {
		return catalog.Service{}, fault.InvalidField("service", entry, "must have fields such as name and address")
	}
	name, _ := fields["name"].(string) // catalog.ParseService reports a missing name
	body, err := json.Marshal(fields)
	if err != nil {
		return catalog.Service{}, fault.Wrap(fault.Invalid, err, "service %q", name)
	}
	return catalog.ParseService(catalog.ServiceName(name), body)
}

// checkDuplicateNames returns an error of kind fault.Invalid for each repetition of a name.
func checkDuplicateNames(services []catalog.Service) error {
	seen := map[catalog.ServiceName]bool{}
	var problems []error
	for _, service := range services {
		if seen[service.Name] {
			problems = append(problems, fault.InvalidField("name", service.Name, "is given twice"))
		}
		seen[service.Name] = true
	}
	return errors.Join(problems...)
}

// ParseShares parses site shares of the form SITE=PERCENT, such as saigon=40. Errors are of kind
// fault.Invalid.
func ParseShares(texts []string) ([]catalog.SiteShare, error) {
	var shares []catalog.SiteShare
	var problems []error
	for _, text := range texts {
		site, percent, err := parseAssignment(text, 32)
		if err != nil {
			problems = append(problems, fault.InvalidField("share", text, "must be SITE=PERCENT, such as saigon=40"))
			continue
		}
		shares = append(shares, catalog.SiteShare{Site: catalog.SiteName(site), Percent: uint32(percent)})
	}
	return shares, errors.Join(problems...)
}

// ParseExpectations parses expectations of the form SERVICE=VERSION, such as lessons=12. Errors are
// of kind fault.Invalid.
func ParseExpectations(texts []string) ([]Expectation, error) {
	var expectations []Expectation
	var problems []error
	for _, text := range texts {
		name, version, err := parseAssignment(text, 64)
		if err != nil {
			problems = append(problems, fault.InvalidField("expect", text, "must be SERVICE=VERSION, such as lessons=12"))
			continue
		}
		expectations = append(expectations, Expectation{Service: catalog.ServiceName(name), Version: catalog.Revision(version)})
	}
	return expectations, errors.Join(problems...)
}

// parseAssignment parses NAME=NUMBER. The number must be an unsigned decimal of at most the given
// number of bits.
func parseAssignment(text string, bits int) (name string, number uint64, err error) {
	name, digits, found := strings.Cut(text, "=")
	if !found || name == "" {
		return "", 0, fmt.Errorf("%q must be NAME=NUMBER with a name that is not empty", text)
	}
	number, err = strconv.ParseUint(digits, 10, bits)
	return name, number, err
}
