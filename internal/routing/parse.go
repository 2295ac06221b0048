package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Texts in responses with status 400. They keep the wording of earlier versions, because
// operators' scripts may match them.
const (
	malformedText  = "numbering: the configuration cannot be read"
	invalidText    = "numbering: the configuration is invalid"
	fanOutKindText = "a gathered route must be safe"
)

// Errors of this package.
var (
	// ErrMalformed means that a configuration or amendment cannot be decoded.
	ErrMalformed = errors.New(malformedText)
	// ErrInvalid means that a configuration or amendment violates rules. The error that wraps
	// it lists the violations.
	ErrInvalid = errors.New(invalidText)
)

// maxViolations bounds the length of errors: the checks of routes and those of tenants stop
// when more violations are found.
const maxViolations = 50

// structValidator checks the rules of the struct tags. Its errors contain the JSON names of
// fields.
var structValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}()

// Decode decodes a configuration that was validated before. Its error wraps ErrMalformed.
func Decode(raw []byte) (*Configuration, error) {
	configuration := &Configuration{}
	if err := json.Unmarshal(raw, configuration); err != nil {
		return nil, malformedError(err)
	}
	return configuration, nil
}

// Parse decodes and validates a configuration. Its error wraps ErrMalformed, or wraps
// ErrInvalid and lists the violations.
func Parse(raw []byte) (*Configuration, error) {
	configuration, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	if violations := configuration.violations(); len(violations) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, strings.Join(violations, "; "))
	}
	return configuration, nil
}

func malformedError(err error) error { return fmt.Errorf("%w: %w", ErrMalformed, err) }

// Violations returns a description of each field that violates the rules of its struct tag,
// given the error of a validator. For any other error it returns the text of the error.
func Violations(err error) []string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return []string{err.Error()}
	}
	var violations []string
	for _, field := range fields {
		name := field.Namespace()
		if _, within, ok := strings.Cut(name, "."); ok {
			name = within
		}
		rule := field.Tag()
		if field.Param() != "" {
			rule += "=" + field.Param()
		}
		violations = append(violations, fmt.Sprintf("%s: %v breaks %q", name, field.Value(), rule))
	}
	return violations
}

// violations returns descriptions of the violations of the configuration.
func (c *Configuration) violations() []string {
	var violations []string
	if err := structValidator.Struct(c); err != nil {
		violations = Violations(err)
	}
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		services[service.Name] = true
	}
	routeByPrefix := make(map[string]string, len(c.Routes)) // names of routes by host and prefix
	for i := range c.Routes {
		route := &c.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		key := strings.ToLower(route.Hostname) + " " + route.PathPrefix
		if other, ok := routeByPrefix[key]; ok {
			violations = append(violations, fmt.Sprintf("%s: %q has the host and prefix of %q", path, route.Name, other))
		}
		routeByPrefix[key] = route.Name
		violations = append(violations, route.targetViolations(path, services)...)
		if len(violations) > maxViolations {
			break
		}
	}
	return append(violations, tenantViolations(c.Tenants)...)
}

// targetViolations returns descriptions of the violations in the services of a route. path
// is the route's position in the configuration, such as routes[2].
func (r *Route) targetViolations(path string, services map[string]bool) (violations []string) {
	for _, service := range r.ServiceNames() {
		if !services[service] {
			violations = append(violations, fmt.Sprintf("%s: unknown service %q", path, service))
		}
	}
	targets := 0
	if r.Service != "" {
		targets++
	}
	if len(r.WeightedServices) > 0 {
		targets++
		if r.totalWeight() <= 0 {
			violations = append(violations, path+".weightedServices: the weights add up to 0")
		}
	}
	if r.IsFanOut() {
		targets++
		if r.RouteKind != KindSafe {
			violations = append(violations, path+".routeKind: "+fanOutKindText)
		}
	}
	if targets != 1 {
		violations = append(violations, path+": needs exactly one of service, weightedServices and fanoutServices")
	}
	return violations
}

func (r *Route) totalWeight() (total int64) {
	for _, weighted := range r.WeightedServices {
		total += weighted.Weight
	}
	return total
}

// tenantViolations returns descriptions of the violations of tenants. They contain no API
// keys, because they are logged.
func tenantViolations(tenants []Tenant) (violations []string) {
	names := map[string]bool{}
	nameByKey := map[string]string{}
	for i, tenant := range tenants {
		if names[tenant.Name] {
			violations = append(violations, fmt.Sprintf("tenants[%d].name: %q stands there twice", i, tenant.Name))
		}
		names[tenant.Name] = true
		for j, key := range tenant.APIKeys {
			if other, ok := nameByKey[key]; ok && other != tenant.Name {
				violations = append(violations,
					fmt.Sprintf("tenants[%d].apiKeys[%d]: %q shares it with %q", i, j, tenant.Name, other))
			}
			nameByKey[key] = tenant.Name
		}
		if len(violations) > maxViolations {
			break
		}
	}
	return violations
}
