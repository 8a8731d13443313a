package main

import (
	"encoding/json"
	"fmt"
)

// changedVersion is the version of the config that changeConfig writes. It is above those of
// the deployment.
const changedVersion = 100

// changeConfig writes the config once more with a change.
func (f *fleet) changeConfig(change func(config map[string]any)) error {
	var config map[string]any
	if err := json.Unmarshal(f.Store.Rows("op")["config"], &config); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	change(config)
	config["version"] = changedVersion
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	f.Store.Put("op", "config", text)
	return nil
}
