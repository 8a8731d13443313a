package tomltext_test

import (
	"regexp"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
)

const maxBytes = 64 << 10

// texts are TOML texts at the edge of what the language allows.
var texts = []string{
	"[a.b.c]\nz=9\n[a]\nb.d=1\n",
	"[a.b.c]\nz=9\n[a]\nb.c.t=1\n",
	"a.b=1\n[a.c]\n",
	"a.b=1\n[a]\n",
	"[f]\na.c=1\n[f.a.t]\nx=1\n",
	"[f]\na.c=1\n[f.a]\nx=1\n",
	"a={b=1}\n[a.c]\n",
	"a={b=1}\na.c=2\n",
	"a={b.c=1,b.d=2}\n",
	"a={b={c=1},b.d=2}\n",
	"a=[{b=1}]\n[[a]]\n",
	"a=[{b=1}]\n[a.c]\n",
	"[[a]]\n[a.b]\n[[a]]\n[a.b]\n",
	"[a]\nb=1\n[[a]]\n",
	"[[a]]\n[a]\n",
	"[a.b]\n[[a]]\n",
	"[[a.b]]\n[a]\nc=1\n",
	"[[a.b]]\n[a]\nb.c=1\n",
	"a=[]\n[[a]]\n",
	"[[a]]\nb.c=1\n[a.b]\n",
	"[[a]]\nb.c=1\n[a.b.d]\n",
	"a=1\na.b=2\n",
	"[a]\nb.c=1\nb.d=2\n",
	"[a]\nb.c.d=1\nb.c.e=2\n[a.b.f]\n[a.b.c.g]\n[a.b.c]\n",
	"[a]\n[a.b]\n[a]\n",
	"[a]\n[a.b]\nc=1\n[a.b.c]\n",
	"x.y.z=1\nx.y=2\n",
	"x=[{a.b=1},{a.b=2}]\n",
	"x=[{a=1,a=2}]\n",
	"a=0x_1\n", "a=0x1_f\n", "a=-0xf\n", "a=0xG\n", "a=0o17\n", "a=0o8\n", "a=0b1_0\n", "a=01\n", "a=1__0\n", "a=1_\n", "a=+1_0\n", "a=-0\n",
	"a=1e400\n", "a=1e-400\n", "a=1_0.0_1e+1_0\n", "a=1.\n", "a=.1\n", "a=01.5\n", "a=+nan\n", "a=-inf\n", "a=1e\n",
	"a=9223372036854775808\n", "a=-9223372036854775808\n", "a=0xffffffffffffffff\n",
	"a=\"\\u00e9\\U0001F600\"\n", "a=\"\\ud800\"\n", "a='\x01'\n", "a=\"\"\"\nx\\\n  y\"\"\"\n", "a=\"\xff\"\n",
	"a.\"\"=1\n", "\"a.b\".c=1\n[\"a.b\".d]\n", "'a'=1\na=2\n", "a=true\nb=false\n", "a=True\n",
	"[]\n", "[a.]\n", "a=\n", "a=1 b=2\n", "# only\r\n", "a=1\rb=2\n", "\xef\xbb\xbfa=1\n", "a=[1,[2,{b=3}],]\n", "a={b=1,}\n", "a={\nb=1}\n",
}

// boundsPattern finds the faults that this package has beyond the library's.
var boundsPattern = regexp.MustCompile("at most|nested more than|date or time|more faults")

// requireSame holds that a text is refused exactly where the library refuses it,
// but for dates and the bounds of this package.
func requireSame(t *testing.T, text []byte) {
	t.Helper()
	doc, ok := tomltext.Parse("t.toml", text, maxBytes)
	here := doc.Err()
	if !ok {
		require.ErrorIs(t, here, tomltext.ErrInvalid)
	}
	if here != nil && boundsPattern.MatchString(here.Error()) {
		return
	}
	var whole map[string]any
	library := toml.Unmarshal(text, &whole)
	require.Equal(t, library == nil, here == nil, "%q\nlibrary: %v\nhere: %v", text, library, here)
}

func TestAsTheLibrary(t *testing.T) {
	for _, text := range texts {
		t.Run(text, func(t *testing.T) { requireSame(t, []byte(text)) })
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range texts {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) { requireSame(t, text) })
}
