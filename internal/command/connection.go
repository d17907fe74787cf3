package command

import (
	"flag"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/settings"
)

// Environment variables of the verbs.
const (
	// AdminVariable holds admin addresses, separated by commas.
	AdminVariable = "LUGSPUR_ADMIN"
	// TokenVariable holds the administration token.
	TokenVariable = "LUGSPUR_TOKEN"
	// AuthorVariable holds the author recorded with changes.
	AuthorVariable = "LUGSPUR_AUTHOR"
)

// connection holds the values of the flags that all verbs share. The flags may be
// given before or after the verb; a value after the verb takes precedence.
type connection struct {
	addresses addressList
	token     stringValue
	author    stringValue
	output    outputFormat
	// resolveTimeout bounds the queries for a lost outcome; zero means the
	// default of the client.
	resolveTimeout time.Duration
}

func newConnection(getenv func(string) string) *connection {
	c := &connection{output: outputTable}
	if addresses := getenv(AdminVariable); addresses != "" {
		c.addresses.items = splitAddresses(addresses)
	} else {
		c.addresses.items = []string{settings.Default().Listen.Admin}
	}
	c.token = stringValue(getenv(TokenVariable))
	c.author = stringValue(getenv(AuthorVariable))
	if c.author == "" {
		c.author = stringValue(getenv("USER"))
	}
	return c
}

func (c *connection) register(flags *flag.FlagSet) {
	c.registerOutput(flags)
	c.registerNodes(flags)
}

func (c *connection) registerOutput(flags *flag.FlagSet) {
	flags.Var(&c.output, "output", "print as `json|table`; default table")
}

func (c *connection) registerNodes(flags *flag.FlagSet) {
	flags.Var(&c.addresses, "admin", "admin `ADDRESS` of a node, IP:port; separate several by commas or repeat the flag; or "+AdminVariable)
	flags.Var(&c.token, "token", "administration `TOKEN`, required for writes; preferably set in "+TokenVariable+", which other users can't read")
	flags.Func("wait", "how long to ask for the outcome of a change whose answer was lost, as `DURATION` such as 30s; default "+adminclient.DefaultResolveTimeout.String(), c.setResolveTimeout)
	flags.Var(&c.author, "author", "`NAME` of the author of the change; or "+AuthorVariable+", or USER")
}

// client returns a client for the nodes that the flags name.
func (c *connection) client() (*adminclient.Client, error) {
	return adminclient.New(adminclient.Options{
		Addresses:      c.addresses.items,
		Token:          string(c.token),
		Author:         string(c.author),
		ResolveTimeout: c.resolveTimeout,
	})
}

func (c *connection) setResolveTimeout(text string) error {
	timeout, err := time.ParseDuration(text)
	if err == nil && timeout <= 0 {
		return usageErrorf("must be more than zero")
	}
	c.resolveTimeout = timeout
	return err
}

// addressList collects addresses; the first one given replaces the default.
type addressList struct {
	items []string
	given bool
}

// String returns nothing, so that usage texts don't show the environment.
func (l *addressList) String() string { return "" }

// Set adds addresses.
func (l *addressList) Set(text string) error {
	addresses := splitAddresses(text)
	if len(addresses) == 0 {
		return usageErrorf("no address")
	}
	if !l.given {
		l.items = nil
	}
	l.given = true
	l.items = append(l.items, addresses...)
	return nil
}

func splitAddresses(text string) []string {
	var addresses []string
	for address := range strings.SplitSeq(text, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// stringValue is a string flag that may be registered twice: registration does
// not reset its value.
type stringValue string

// String returns nothing, so that usage texts don't show the environment.
func (v *stringValue) String() string { return "" }

// Set stores the text.
func (v *stringValue) Set(text string) error {
	*v = stringValue(text)
	return nil
}

// outputFormat is the value of -output.
type outputFormat string

const (
	outputJSON  outputFormat = "json"
	outputTable outputFormat = "table"
)

// String returns nothing, so that usage texts don't show a second default.
func (f *outputFormat) String() string { return "" }

// Set selects one of the formats.
func (f *outputFormat) Set(text string) error {
	switch format := outputFormat(text); format {
	case outputJSON, outputTable:
		*f = format
		return nil
	}
	return usageErrorf("allowed are json and table")
}
