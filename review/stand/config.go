package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
)

// changedVersion is the version of the config that changeConfig writes. It is above those of
// the deployment.
const changedVersion = 100

// changeConfig writes the config once more with a change.
func (f *fleet) changeConfig(change func(config map[string]any)) error {
	response, err := http.Get("http://" + f.StoreAddress() + "/primrosetally/rows-get?table=op&part=")
	if err != nil {
		return fmt.Errorf("read the config: %w", err)
	}
	defer response.Body.Close()
	var table struct {
		Rows []struct{ Value string } `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&table); err != nil {
		return fmt.Errorf("read the config: %w", err)
	}
	if len(table.Rows) != 1 {
		return fmt.Errorf("%d rows of the operator, not that of the config alone", len(table.Rows))
	}
	text, err := base64.StdEncoding.DecodeString(table.Rows[0].Value)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	change(config)
	config["version"] = changedVersion
	if text, err = json.Marshal(config); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	f.Store.Put("op", "config", text)
	return nil
}
