package strictyaml

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/go-playground/validator/v10"
)

// maxNameLength is the largest length of a name in bytes.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// tagValidator checks the rules of validation tags. In addition to the validator
// package's own rules it supports:
//
//	name      lower-case letters, digits, '-' and '.', at most 63 bytes
//	hostport  an IP address and a port; host names are not allowed
var tagValidator = newTagValidator()

func newTagValidator() *validator.Validate {
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

// IsName reports whether s is a valid name of an object in a manifest.
func IsName(s string) bool { return len(s) <= maxNameLength && namePattern.MatchString(s) }

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// ruleMessage returns the message for a broken rule of a validation tag.
func ruleMessage(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if":
		return "is missing"
	case "name":
		return fmt.Sprintf("%q is not a name of lower-case letters, digits, '-' and '.' with at most %d bytes", f.Value(), maxNameLength)
	case "hostport":
		return fmt.Sprintf("%q is not an IP address and port, such as 10.0.0.1:8080", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), f.Param())
	case "eq":
		return fmt.Sprintf("%q must be %s", f.Value(), f.Param())
	case "gt":
		return fmt.Sprintf("%v must be greater than %s", f.Value(), f.Param())
	case "gte":
		return fmt.Sprintf("%v must be at least %s", f.Value(), f.Param())
	case "lte":
		return fmt.Sprintf("%v must be at most %s", f.Value(), f.Param())
	case "gtefield":
		return fmt.Sprintf("%v must be at least the value of field %s", f.Value(), f.Param())
	case "min":
		return fmt.Sprintf("is below the minimum of %s", f.Param())
	case "len":
		return fmt.Sprintf("must be %s characters long", f.Param())
	case "hexadecimal":
		return "is not hexadecimal"
	case "startswith":
		return fmt.Sprintf("%q must start with %s", f.Value(), f.Param())
	case "url":
		return fmt.Sprintf("%q is not a URL", f.Value())
	}
	return fmt.Sprintf("does not meet the rule %s %s", f.Tag(), f.Param())
}
