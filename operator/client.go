package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// askTimeout bounds one page, which takes some milliseconds.
const askTimeout = 5 * time.Second

// Get reads a page of the process with the operators' address into v.
func Get(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, address)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s answered %s", address, path, p.Status)
	}
	return errors.Wrap(json.NewDecoder(p.Body).Decode(v), address)
}
