package httpapi

import (
	"context"
	"net/url"

	"github.com/pomelospool/pomelospool/port"
)

// VMs is the adapter to the VM list.
type VMs struct{ client *client }

var _ port.VMs = (*VMs)(nil)

// NewVMs returns an adapter to the VM list at baseURL.
func NewVMs(baseURL string, o Options) *VMs { return &VMs{newClient("vms", baseURL, o)} }

// Close closes the connections.
func (v *VMs) Close() error {
	v.client.close()
	return nil
}

// List returns the platform's list of VMs.
func (v *VMs) List(ctx context.Context) ([]port.VM, error) {
	var vms []port.VM
	err := v.client.get(ctx, "/vms", &vms)
	return vms, err
}

// Weights is the adapter to the weight store.
type Weights struct{ client *client }

var _ port.WeightStore = (*Weights)(nil)

// NewWeights returns an adapter to the weight store at baseURL.
func NewWeights(baseURL string, o Options) *Weights {
	return &Weights{newClient("weights", baseURL, o)}
}

// Close closes the connections.
func (w *Weights) Close() error {
	w.client.close()
	return nil
}

// Size returns the size of a model version in bytes.
func (w *Weights) Size(ctx context.Context, model, version string) (int64, error) {
	var a struct {
		Size int64 `json:"size"`
	}
	err := w.client.get(ctx, "/models/"+url.PathEscape(model)+"/"+url.PathEscape(version), &a)
	return a.Size, err
}

// Rate returns the store's total rate for all readers, in bytes per second.
func (w *Weights) Rate(ctx context.Context) (float64, error) {
	var a struct {
		BytesPerSecond float64 `json:"bytes_per_second"`
	}
	err := w.client.get(ctx, "/rate", &a)
	return a.BytesPerSecond, err
}
