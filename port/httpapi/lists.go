package httpapi

import (
	"context"
	"net/url"

	"github.com/pomelospool/pomelospool/port"
)

// VMs is the adapter to the VM list.
type VMs struct{ c *client }

var _ port.VMs = (*VMs)(nil)

// NewVMs returns an adapter to the VM list at baseURL.
func NewVMs(baseURL string, o Options) *VMs { return &VMs{newClient("vms", baseURL, o)} }

// Close cuts the connections.
func (v *VMs) Close() error {
	v.c.close()
	return nil
}

// List returns the VMs as the platform shows them.
func (v *VMs) List(ctx context.Context) ([]port.VM, error) {
	var vms []port.VM
	err := v.c.get(ctx, "/vms", &vms)
	return vms, err
}

// Weights is the adapter to the weight store.
type Weights struct{ c *client }

var _ port.WeightStore = (*Weights)(nil)

// NewWeights returns an adapter to the weight store at baseURL.
func NewWeights(baseURL string, o Options) *Weights {
	return &Weights{newClient("weights", baseURL, o)}
}

// Close cuts the connections.
func (w *Weights) Close() error {
	w.c.close()
	return nil
}

// Size returns the bytes of a model version.
func (w *Weights) Size(ctx context.Context, model, version string) (int64, error) {
	var a struct {
		Size int64 `json:"size"`
	}
	err := w.c.get(ctx, "/models/"+url.PathEscape(model)+"/"+url.PathEscape(version), &a)
	return a.Size, err
}

// Rate returns the bytes a second that the store gives to all together.
func (w *Weights) Rate(ctx context.Context) (float64, error) {
	var a struct {
		BytesPerSecond float64 `json:"bytes_per_second"`
	}
	err := w.c.get(ctx, "/rate", &a)
	return a.BytesPerSecond, err
}
