package command

import (
	"slices"
	"strings"
)

// operands are arguments that are no flags and of which a command takes any number. The
// library of the command line knows positions with names only.
type operands struct {
	// named is how many positions have names; what follows them goes to rest.
	named int
	rest  *[]string
	// valued are the flags that take the next argument as their value.
	valued []string
}

// split takes the operands beyond the named ones out of the arguments of a command.
func (o *operands) split(arguments []string) []string {
	var kept []string
	seen := 0
	for i := 0; i < len(arguments); i++ {
		a := arguments[i]
		if strings.HasPrefix(a, "-") && a != standardInput {
			kept = append(kept, a)
			if slices.Contains(o.valued, a) && i+1 < len(arguments) {
				i++
				kept = append(kept, arguments[i])
			}
			continue
		}
		if seen++; seen > o.named {
			*o.rest = append(*o.rest, a)
			continue
		}
		kept = append(kept, a)
	}
	return kept
}
