package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// status sends a request with a key, or without one if it is empty, and returns the status.
func (f *rawFleet) status(key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.front+rawPathRead, nil)
	require.NoError(f.t, err)
	request.Host = "h"
	request.Header.Set(rawID, rawRequestID)
	if key != "" {
		request.Header.Set(rawKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	response.Body.Close()
	return response.StatusCode
}

// manyAnswers are enough for all requests of a test.
func manyAnswers() []rawAnswer {
	var list []rawAnswer
	for range 64 {
		list = append(list, rawAnswer{text: head("200 OK", proven+"Content-Length: 2\r\n") + "ok"})
	}
	return list
}

// The last key of all accounts is taken away. From then on every request ran: under the
// revoked keys, under unknown ones, and without any. It is the same for an entry that starts
// with the newest configuration.
func TestRequestsRunAfterLastKey(t *testing.T) {
	account := fleet.NewAccount("shop")
	for _, test := range []struct {
		name    string
		options []fleet.ConfigurationOption
		keyed   bool
		valid   string // key, empty if there is none
	}{
		{"a key is left", []fleet.ConfigurationOption{fleet.WithAccount(account, "key-1")}, true, "key-1"},
		{"an account without keys", []fleet.ConfigurationOption{fleet.WithAccount(account)}, true, ""},
		{"an account with an empty key", []fleet.ConfigurationOption{fleet.WithAccount(account, "")}, true, ""},
		{"no account", []fleet.ConfigurationOption{fleet.WithKeyed()}, true, ""},
		{"an account without a name", []fleet.ConfigurationOption{fleet.WithAccount(fleet.NewAccount(""), "key-1")}, true, "key-1"},
		{"no keys are needed", nil, false, ""},
	} {
		for _, restarted := range []bool{false, true} {
			f := startRawFleet(t, 1, manyAnswers())
			if restarted {
				f.renew(manyAnswers())
			} else {
				f.gateway.ApplyConfiguration(rawConfiguration(2, fleet.WithAccount(account, "key-1", "key-2")), nil)
			}
			f.gateway.ApplyConfiguration(rawConfiguration(3, test.options...), nil)
			for _, key := range []string{"", "key-1", "key-2", "never"} {
				want := http.StatusOK
				if test.keyed && (key == "" || key != test.valid) {
					want = http.StatusUnauthorized
				}
				require.Equal(t, want, f.status(key), "%s, restarted %t, key %q", test.name, restarted, key)
			}
		}
	}
}

// A key of an account without a name was accepted however old the confirmation of the
// configuration was.
func TestKeyOfNamelessAccountIsConfirmed(t *testing.T) {
	for _, name := range []string{"shop", ""} {
		confirmedAt := boottime.Now()
		f := startRawFleet(t, 1, manyAnswers(), WithConfirmation(func() time.Duration { return confirmedAt }, 5*time.Second))
		f.gateway.ApplyConfiguration(rawConfiguration(2, fleet.WithAccount(fleet.NewAccount(name), "key-1")), nil)
		require.Equal(t, http.StatusOK, f.status("key-1"), "account %q", name)
		confirmedAt -= 5 * time.Second
		require.Equal(t, http.StatusServiceUnavailable, f.status("key-1"), "account %q", name)
	}
}
