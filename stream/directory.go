package stream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Directory is a client of the platform's list of instances. The list lags behind
// the actual instances. A Directory is safe for concurrent use.
type Directory struct {
	URL    string
	Client *http.Client // http.DefaultClient if nil
}

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// List returns the instances that the platform knows of. It fails with
// *UnavailableError.
func (d *Directory) List(ctx context.Context) ([]Instance, error) {
	resp, err := get(ctx, d.Client, d.URL+"/instances")
	if err != nil {
		return nil, &UnavailableError{"list", err}
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, &UnavailableError{"list", &StatusError{resp.StatusCode}}
	}
	var out []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxPageBytes)).Decode(&out); err != nil {
		return nil, &UnavailableError{"list", &ResponseError{"instances", err}}
	}
	return out, nil
}
