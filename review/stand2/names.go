package main

import (
	_ "embed" // for the names
	"encoding/json"
)

// namesText has the names on the wire, which the stand takes from the pages. They stand apart
// from the code, as the project's own code outside of its adapter has none.
//
//go:embed names.json
var namesText []byte

// names are the names of headers, and the path of the readiness probe.
var names = func() (n struct{ Attempt, Deadline, Target, NotExecuted, Prompt, Model, Tokens, Ready string }) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()
