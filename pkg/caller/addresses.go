package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxAddressList = 1 << 20 // bytes
	addressesPath  = "/addresses"
)

// addressList is an entry's answer to which addresses to use.
type addressList struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds int      `json:"ttlSeconds"`
}

// addresses keeps the entries to use for their time to live.
type addresses struct {
	seeds         []string
	region        string
	failureDomain string

	mu      sync.Mutex
	list    []string
	expires time.Time
}

// currentAddresses returns base URLs, asking an entry if the kept ones are too
// old. Entries of an older list and the seeds follow the current ones.
func (c *Client) currentAddresses(ctx context.Context) []string {
	kept, fresh := c.addresses.kept(c.now())
	if fresh {
		return kept
	}
	for _, base := range kept {
		if list, ok := c.ask(ctx, base); ok {
			c.addresses.keep(list, c.now())
			kept, _ = c.addresses.kept(c.now())
			return kept
		}
	}
	return kept
}

// ask reads the account's addresses from one entry.
func (c *Client) ask(ctx context.Context, base string) (addressList, bool) {
	place := url.Values{"region": {c.addresses.region}, "failureDomain": {c.addresses.failureDomain}}
	target := strings.TrimRight(base, "/") + addressesPath + "?" + place.Encode()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return addressList{}, false
	}
	q.Header.Set(HeaderAccount, c.account)
	response, err := c.sender.Do(ctx, q)
	if err != nil {
		return addressList{}, false
	}
	defer response.Body.Close()
	var list addressList
	err = json.NewDecoder(io.LimitReader(response.Body, maxAddressList)).Decode(&list)
	return list, err == nil && response.StatusCode == http.StatusOK && len(list.Addresses) > 0
}

// kept returns the addresses in the order in which they are tried.
func (a *addresses) kept(now time.Time) ([]string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.Clone(a.list)
	for _, seed := range a.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all, len(a.list) > 0 && now.Before(a.expires)
}

func (a *addresses) keep(list addressList, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = a.list[:0:0]
	for _, address := range list.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		a.list = append(a.list, address)
	}
	a.expires = now.Add(time.Duration(list.TTLSeconds) * time.Second)
}

// fail puts an address that cannot be reached behind the others.
func (a *addresses) fail(base string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.list, base); i >= 0 {
		a.list = append(slices.Delete(slices.Clone(a.list), i, i+1), base)
	}
}

// expire has the next request ask again.
func (a *addresses) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expires = time.Time{}
}
