package lease

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// row is the value of the lease's row. Every write increments the counter, so two
// equal values come from the same write.
type row struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	Counter uint64 `json:"counter"`
}

func (r row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("lease: encode row: " + err.Error())
	}
	return data
}

func decode(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, eris.Wrapf(ErrMalformedRow, "%.80q", value)
	}
	return r, nil
}

// ParseFencing returns the fencing number in the value of a lease row, 0 for an
// absent row. A newly started agent reads it before it accepts its first order.
func ParseFencing(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	r, err := decode(value)
	return r.Fencing, err
}
