package strictyaml

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/go-playground/validator/v10"
)

// maxName is the longest name in bytes.
const maxName = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// tags checks the validation tags. Beside the validator's own it knows
//
//	name      lower-case letters, digits, '-' and '.', at most 63 bytes
//	hostport  an IP address and a port; no host names
var tags = newTags()

func newTags() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool { return IsName(f.Field().String()) }))
	must(v.RegisterValidation("hostport", func(f validator.FieldLevel) bool { return isAddrPort(f.Field().String()) }))
	return v
}

func must(err error) {
	if err != nil {
		panic("strictyaml: " + err.Error())
	}
}

// IsName reports whether s can name an object of the manifest.
func IsName(s string) bool { return len(s) <= maxName && namePattern.MatchString(s) }

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// explain says what a validation tag asks for.
func explain(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if":
		return "is missing"
	case "name":
		return fmt.Sprintf("%q is not a name: lower-case letters, digits, '-' and '.', at most %d", f.Value(), maxName)
	case "hostport":
		return fmt.Sprintf("%q is not an IP address and port, such as 10.0.0.1:8080", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is none of: %s", f.Value(), f.Param())
	case "eq":
		return fmt.Sprintf("%q must be %s", f.Value(), f.Param())
	case "gt":
		return fmt.Sprintf("%v must be more than %s", f.Value(), f.Param())
	case "gte":
		return fmt.Sprintf("%v must be at least %s", f.Value(), f.Param())
	case "lte":
		return fmt.Sprintf("%v must be at most %s", f.Value(), f.Param())
	case "gtefield":
		return fmt.Sprintf("%v must be at least the field %s", f.Value(), f.Param())
	case "min":
		return fmt.Sprintf("needs at least %s", f.Param())
	case "len":
		return fmt.Sprintf("must be %s characters long", f.Param())
	case "hexadecimal":
		return "is not hexadecimal"
	case "startswith":
		return fmt.Sprintf("%q must start with %s", f.Value(), f.Param())
	case "url":
		return fmt.Sprintf("%q is not a URL", f.Value())
	}
	return fmt.Sprintf("does not meet %s %s", f.Tag(), f.Param())
}
