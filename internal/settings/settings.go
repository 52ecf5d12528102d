// Package settings reads a program's settings from flags and environment variables. It
// validates all of them before the program starts and reports all invalid ones together.
//
// The flag -first-token has the environment variable KINGCUP_FIRST_TOKEN. A flag on the
// command line overrides its variable.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"
)

// EnvPrefix is the prefix of every environment variable.
const EnvPrefix = "KINGCUP_"

// ExitUsage is the exit code of a program whose settings are invalid.
const ExitUsage = 2

// Version is the version that -version prints; the build may set it.
var Version = "dev"

// Set holds the settings of one program. It is not safe for concurrent use.
type Set struct {
	name    string
	summary string
	flags   *flag.FlagSet
	// group is the heading for flags that are defined next.
	group  string
	groups []string
	// groupOf maps each flag to its heading.
	groupOf map[string]string
	checks  []func() error

	allowArgs bool
}

// New returns an empty set for the program name. summary is one line for -help.
func New(name, summary string) *Set {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s := &Set{name: name, summary: summary, flags: fs, groupOf: make(map[string]string)}
	s.Group("General")
	return s
}

// Group sets the heading in the help text for the flags defined after it.
func (s *Set) Group(title string) {
	s.group = title
	if !slices.Contains(s.groups, title) {
		s.groups = append(s.groups, title)
	}
}

func (s *Set) register(name string, check func() error) {
	s.groupOf[name] = s.group
	if check != nil {
		s.checks = append(s.checks, check)
	}
}

func invalid(name string, value any, reason string) error {
	return fmt.Errorf("-%s: invalid value %q: %s", name, fmt.Sprint(value), reason)
}

// String defines a text setting. If required, an empty value is invalid.
func (s *Set) String(name, def, usage string, required bool) *string {
	v := s.flags.String(name, def, usage)
	s.register(name, func() error {
		if required && *v == "" {
			return invalid(name, *v, "must be set")
		}
		return nil
	})
	return v
}

// Address defines a host:port setting whose host is empty or an IP address. If not
// required, the setting may be empty.
func (s *Set) Address(name, def, usage string, required bool) *string {
	v := s.flags.String(name, def, usage)
	s.register(name, func() error {
		if *v == "" && !required {
			return nil
		}
		host, port, err := net.SplitHostPort(*v)
		if err != nil || port == "" {
			return invalid(name, *v, "must be host:port")
		}
		if host != "" && net.ParseIP(host) == nil {
			return invalid(name, *v, "host must be an IP number")
		}
		if _, err := net.LookupPort("tcp", port); err != nil {
			return invalid(name, *v, "port must be 0 to 65535")
		}
		return nil
	})
	return v
}

// Duration defines a duration setting within [minValue, maxValue].
func (s *Set) Duration(name string, def, minValue, maxValue time.Duration, usage string) *time.Duration {
	v := s.flags.Duration(name, def, usage)
	s.register(name, func() error {
		if *v < minValue || *v > maxValue {
			return invalid(name, *v, fmt.Sprintf("must be from %v to %v", minValue, maxValue))
		}
		return nil
	})
	return v
}

// Int defines an integer setting within [minValue, maxValue].
func (s *Set) Int(name string, def, minValue, maxValue int, usage string) *int {
	v := s.flags.Int(name, def, usage)
	s.register(name, func() error {
		if *v < minValue || *v > maxValue {
			return invalid(name, *v, fmt.Sprintf("must be from %d to %d", minValue, maxValue))
		}
		return nil
	})
	return v
}

// Bool defines a boolean setting.
func (s *Set) Bool(name string, def bool, usage string) *bool {
	v := s.flags.Bool(name, def, usage)
	s.register(name, nil)
	return v
}

// Choice defines a setting whose value must be one of choices.
func (s *Set) Choice(name, def string, choices []string, usage string) *string {
	v := s.flags.String(name, def, usage+" ("+strings.Join(choices, ", ")+")")
	s.register(name, func() error {
		if !slices.Contains(choices, *v) {
			return invalid(name, *v, "must be one of "+strings.Join(choices, ", "))
		}
		return nil
	})
	return v
}

// List defines a comma-separated setting. The returned function returns the items; call it
// after Parse.
func (s *Set) List(name, def, usage string) func() []string {
	v := s.flags.String(name, def, usage)
	s.register(name, nil)
	return func() []string {
		if *v == "" {
			return nil
		}
		return strings.Split(*v, ",")
	}
}

// Args returns the arguments after the flags.
func (s *Set) Args() []string { return s.flags.Args() }

// Parse reads args, and the environment through lookupEnv. errs has one single-line error for
// each invalid setting. If help or version is true, the program is to print that text
// instead of running.
func (s *Set) Parse(args []string, lookupEnv func(string) (string, bool)) (help, version bool, errs []error) {
	showVersion := s.flags.Bool("version", false, "print the version and exit")
	s.groupOf["version"] = s.groups[0]
	help, errs = s.parseFlags(args)
	if help {
		return true, false, nil
	}
	if extra := s.flags.Args(); len(extra) > 0 && !s.allowArgs && len(errs) == 0 {
		errs = append(errs, fmt.Errorf("unexpected argument %q", extra[0]))
	}
	onCommandLine := make(map[string]bool)
	s.flags.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	s.flags.VisitAll(func(f *flag.Flag) {
		value, ok := lookupEnv(FlagVariable(f.Name))
		if !ok || onCommandLine[f.Name] || f.Name == "version" {
			return
		}
		if err := s.flags.Set(f.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%s: invalid value %q: %v", FlagVariable(f.Name), value, err))
		}
	})
	for _, check := range s.checks {
		if err := check(); err != nil {
			errs = append(errs, err)
		}
	}
	return false, *showVersion, errs
}

// parseFlags continues after a flag with an invalid value, so that all invalid values are
// reported. It stops at an undefined flag, because the next argument may be the value of
// that flag.
func (s *Set) parseFlags(args []string) (help bool, errs []error) {
	for {
		err := s.flags.Parse(args)
		if err == nil {
			return false, errs
		}
		if err == flag.ErrHelp {
			return true, nil
		}
		errs = append(errs, err)
		if len(s.flags.Args()) == 0 || strings.Contains(err.Error(), "not defined") {
			return false, errs
		}
		args = s.flags.Args()
	}
}

// AllowArgs makes Parse accept arguments after the flags.
func (s *Set) AllowArgs() { s.allowArgs = true }

// FlagVariable returns the name of the environment variable of a flag.
func FlagVariable(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Help writes the help text, with the flags by group.
func (s *Set) Help(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n\nUsage: %s [flags]\n", s.name, s.summary, s.name)
	for _, group := range s.groups {
		fmt.Fprintf(w, "\n%s:\n", group)
		s.flags.VisitAll(func(f *flag.Flag) {
			if s.groupOf[f.Name] == group {
				fmt.Fprintf(w, "  -%-18s %s (default %q, %s)\n", f.Name, f.Usage, f.DefValue, FlagVariable(f.Name))
			}
		})
	}
}

// MustParse parses the command line of the process. If a setting is invalid, it prints one
// line for each and exits with code 2; after -help or -version it exits with 0.
func (s *Set) MustParse() {
	help, version, errs := s.Parse(os.Args[1:], os.LookupEnv)
	if help {
		s.Help(os.Stdout)
		os.Exit(0)
	}
	if version {
		fmt.Println(s.name, Version)
		os.Exit(0)
	}
	for _, err := range errs {
		fmt.Fprintf(os.Stderr, "%s: %v\n", s.name, err)
	}
	if len(errs) > 0 {
		os.Exit(ExitUsage)
	}
}
