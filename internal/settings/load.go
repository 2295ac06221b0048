package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"

	"comethold/internal/routing"
)

// PathEnv is the environment variable that names the settings file.
const PathEnv = "COMETHOLD_SETTINGS"

// ErrSettings is wrapped by every error of this package.
var ErrSettings = errors.New("settings")

var validate = newValidator()

// newValidator returns a validator whose errors use the field names of the file.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	return v
}

// Path returns the path of the settings file that the environment names.
func Path() (string, error) {
	path := os.Getenv(PathEnv)
	if path == "" {
		return "", fmt.Errorf("%w: the variable %s names no file", ErrSettings, PathEnv)
	}
	return path, nil
}

// Load reads and validates a settings file. Its error lists the violations.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return Parse(raw)
}

// Parse decodes and validates the text of a settings file. Its error lists the violations.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	var violations []string
	if err := validate.Struct(s); err != nil {
		violations = routing.Violations(err)
	}
	if ports := s.InternalPortRange; len(ports) == 2 && ports[1] < ports[0]+int(lastProgram) {
		violations = append(violations, "internalPortRange: needs three ports at least, the lower first")
	}
	if len(violations) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrSettings, strings.Join(violations, "; "))
	}
	return s, nil
}
