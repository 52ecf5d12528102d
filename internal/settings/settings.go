// Package settings reads a program's settings from flags and environment
// variables, checks all of them before anything starts and reports every bad
// one at once.
//
// The flag -first-token has the variable KINGCUP_FIRST_TOKEN; a flag on the
// command line goes before its variable.
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

// EnvPrefix begins the name of every variable.
const EnvPrefix = "KINGCUP_"

// ExitUsage is the exit code of a program whose settings are wrong.
const ExitUsage = 2

// Version is what -version prints; the build may set it.
var Version = "dev"

// Set is the settings of one program. It is for one goroutine.
type Set struct {
	name    string
	summary string
	flags   *flag.FlagSet
	group   string
	groups  []string
	member  map[string]string
	checks  []func() error

	takesArgs bool
}

// New returns an empty set; summary is one line for -help.
func New(name, summary string) *Set {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s := &Set{name: name, summary: summary, flags: fs, member: make(map[string]string)}
	s.Group("General")
	return s
}

// Group names the heading of the flags that follow.
func (s *Set) Group(title string) {
	s.group = title
	if !slices.Contains(s.groups, title) {
		s.groups = append(s.groups, title)
	}
}

func (s *Set) add(name string, check func() error) {
	s.member[name] = s.group
	if check != nil {
		s.checks = append(s.checks, check)
	}
}

func invalid(name string, value any, why string) error {
	return fmt.Errorf("-%s: invalid value %q: %s", name, fmt.Sprint(value), why)
}

// String defines a text setting; an empty value is refused if required.
func (s *Set) String(name, def, usage string, required bool) *string {
	v := s.flags.String(name, def, usage)
	s.add(name, func() error {
		if required && *v == "" {
			return invalid(name, *v, "must be set")
		}
		return nil
	})
	return v
}

// Address defines a host:port setting; optional ones may be empty.
func (s *Set) Address(name, def, usage string, required bool) *string {
	v := s.flags.String(name, def, usage)
	s.add(name, func() error {
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

// Duration defines a time setting within [least, most].
func (s *Set) Duration(name string, def, least, most time.Duration, usage string) *time.Duration {
	v := s.flags.Duration(name, def, usage)
	s.add(name, func() error {
		if *v < least || *v > most {
			return invalid(name, *v, fmt.Sprintf("must be from %v to %v", least, most))
		}
		return nil
	})
	return v
}

// Int defines a number setting within [least, most].
func (s *Set) Int(name string, def, least, most int, usage string) *int {
	v := s.flags.Int(name, def, usage)
	s.add(name, func() error {
		if *v < least || *v > most {
			return invalid(name, *v, fmt.Sprintf("must be from %d to %d", least, most))
		}
		return nil
	})
	return v
}

// Bool defines a switch.
func (s *Set) Bool(name string, def bool, usage string) *bool {
	v := s.flags.Bool(name, def, usage)
	s.add(name, nil)
	return v
}

// Choice defines a setting that takes one of a few words.
func (s *Set) Choice(name, def string, choices []string, usage string) *string {
	v := s.flags.String(name, def, usage+" ("+strings.Join(choices, ", ")+")")
	s.add(name, func() error {
		if !slices.Contains(choices, *v) {
			return invalid(name, *v, "must be one of "+strings.Join(choices, ", "))
		}
		return nil
	})
	return v
}

// List defines a comma-separated setting.
func (s *Set) List(name, def, usage string) func() []string {
	v := s.flags.String(name, def, usage)
	s.add(name, nil)
	return func() []string {
		if *v == "" {
			return nil
		}
		return strings.Split(*v, ",")
	}
}

// Args are the arguments behind the flags.
func (s *Set) Args() []string { return s.flags.Args() }

// Parse reads args and the environment. errs are all bad settings, one line
// each; help and version ask for that text instead of a run.
func (s *Set) Parse(args []string, lookup func(string) (string, bool)) (help, version bool, errs []error) {
	showVersion := s.flags.Bool("version", false, "print the version and exit")
	s.member["version"] = s.groups[0]
	help, errs = s.parseFlags(args)
	if help {
		return true, false, nil
	}
	if extra := s.flags.Args(); len(extra) > 0 && !s.takesArgs && len(errs) == 0 {
		errs = append(errs, fmt.Errorf("unexpected argument %q", extra[0]))
	}
	given := make(map[string]bool)
	s.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	s.flags.VisitAll(func(f *flag.Flag) {
		value, ok := lookup(FlagVariable(f.Name))
		if !ok || given[f.Name] || f.Name == "version" {
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

// parseFlags goes on behind a flag whose value is wrong, so that all wrong values
// are found. Behind a flag that does not exist nothing can be told: the next word
// may be its value.
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

// AllowArgs lets arguments follow the flags.
func (s *Set) AllowArgs() { s.takesArgs = true }

// FlagVariable is the variable of a flag.
func FlagVariable(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Help writes the flags by group.
func (s *Set) Help(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n\nUsage: %s [flags]\n", s.name, s.summary, s.name)
	for _, group := range s.groups {
		fmt.Fprintf(w, "\n%s:\n", group)
		s.flags.VisitAll(func(f *flag.Flag) {
			if s.member[f.Name] == group {
				fmt.Fprintf(w, "  -%-18s %s (default %q, %s)\n", f.Name, f.Usage, f.DefValue, FlagVariable(f.Name))
			}
		})
	}
}

// MustParse parses the command line of the process. It ends the process with
// code 2 and one line for each bad setting, or with 0 after -help or -version.
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
