package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// requestTimeout is the limit for one page, which usually takes a few milliseconds.
const requestTimeout = 5 * time.Second

// Get requests the page at path from the process with the given operator address, and
// decodes its JSON into v.
func Get(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("GET http://%s%s: status %s", address, path, resp.Status)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), address)
}
