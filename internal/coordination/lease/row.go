package lease

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// row is the value of the lease's row. Every write changes the counter, so two
// equal rows are one and the same write.
type row struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	Counter uint64 `json:"counter"`
}

func (r row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("lease: row does not encode: " + err.Error())
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

// ParseFencing returns the fencing number in a lease row, 0 for an absent row. An
// agent reads it when it starts, before it takes any order.
func ParseFencing(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	r, err := decode(value)
	return r.Fencing, err
}
