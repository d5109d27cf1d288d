package stream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Directory is a client of the platform's list of instances, which lags behind
// the actual state. It is safe for concurrent use.
type Directory struct {
	URL    string
	Client *http.Client // http.DefaultClient if nil
}

// Instance is one instance as the platform lists it.
type Instance struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// List returns the instances as far as the platform knows them; it fails with
// *DownError.
func (d *Directory) List(ctx context.Context) ([]Instance, error) {
	resp, err := get(ctx, d.Client, d.URL+"/instances")
	if err != nil {
		return nil, &DownError{"list", err}
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, &DownError{"list", &StatusError{resp.StatusCode}}
	}
	var out []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxPageBytes)).Decode(&out); err != nil {
		return nil, &DownError{"list", &AnswerError{"instances", err}}
	}
	return out, nil
}
