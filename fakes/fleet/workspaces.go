package fleet

import "encoding/json"

// Workspace is a workspace of a configuration that a test writes.
type Workspace struct {
	Keys []string `json:"ApiKeys"`
	// Rate and Burst are the quota, in requests per second and in requests; 0 for none.
	Rate  float64 `json:"RatePerS"`
	Burst float64 `json:"Burst"`
}

// EncodeWorkspaces returns the workspaces, by name, as a configuration holds them.
func EncodeWorkspaces(table map[string]Workspace) []byte {
	text, err := json.Marshal(table)
	if err != nil {
		panic(err) // the table holds texts and finite numbers only
	}
	return text
}
