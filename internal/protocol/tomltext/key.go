package tomltext

// Key describes one key of a text for its documentation.
type Key struct {
	path string
	spec Spec
}

// NewKey returns the description of the key at the dotted path, which has NAME
// where a name stands and [] where an index does.
func NewKey(path string, s Spec) Key {
	return Key{path: path, spec: s}
}

// Path returns the dotted path, such as "service.NAME.kind".
func (k Key) Path() string { return k.path }

// Kind returns the type of the value.
func (k Key) Kind() string { return string(k.spec.Kind) }

// Unit returns the unit of a number, empty where there is none.
func (k Key) Unit() string { return k.spec.Unit }

// Range describes the values that are taken.
func (k Key) Range() string { return k.spec.Range() }

// Default returns the default as written in a text, "required" for a key that
// must be set, and "" for a key that may be absent.
func (k Key) Default() string {
	if k.spec.Required {
		return "required"
	}
	return k.spec.Default
}
