package contract

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/standin/vmlist"
	"github.com/pomelospool/pomelospool/standin/weights"
)

func listVMs(t *testing.T, vms port.VMs) string {
	t.Helper()
	list, err := vms.List(t.Context())
	wantErr(t, err, nil)
	s := ""
	for _, vm := range list {
		s += vm.ID + "@" + vm.Zone
		if vm.Leaving {
			s += "-"
		}
		s += " "
	}
	return s
}

func TestVMs(t *testing.T) {
	for _, transport := range []string{"in process", "http"} {
		t.Run(transport, func(t *testing.T) {
			clk := &clock{}
			svc := vmlist.New(vmlist.Options{
				VMs: []port.VM{{ID: "b", Zone: "2"}, {ID: "a", Zone: "1"}},
				Lag: time.Minute,
				Now: clk.now,
			})
			var vms port.VMs = svc
			if transport == "http" {
				startServer(t, svc)
				vms = httpapi.NewVMs(svc.URL(), httpapi.Options{})
			}
			svc.Put(port.VM{ID: "c", Zone: "3"})
			svc.Put(port.VM{ID: "a", Zone: "1", Leaving: true})
			svc.Delete("b")
			want(t, "before the lag", listVMs(t, vms), "a@1 b@2 ")
			clk.advance(time.Minute)
			want(t, "after the lag", listVMs(t, vms), "a@1- c@3 ")
			svc.SetDown(true)
			_, err := vms.List(t.Context())
			wantErr(t, err, port.ErrUnavailable)
			svc.SetDown(false)
			want(t, "after the outage", listVMs(t, vms), "a@1- c@3 ")
		})
	}
}

func TestWeightStore(t *testing.T) {
	for _, transport := range []string{"in process", "http"} {
		t.Run(transport, func(t *testing.T) {
			svc := weights.New(weights.Options{Rate: 5e9, Size: 7, Sizes: map[string]int64{"m/v 2": 9}})
			var store port.WeightStore = svc
			if transport == "http" {
				startServer(t, svc)
				store = httpapi.NewWeights(svc.URL(), httpapi.Options{})
			}
			for version, size := range map[string]int64{"v1": 7, "v 2": 9} {
				got, err := store.Size(t.Context(), "m", version)
				wantErr(t, err, nil)
				want(t, "size of "+version, got, size)
			}
			rate, err := store.Rate(t.Context())
			wantErr(t, err, nil)
			want(t, "rate", rate, 5e9)
			svc.SetDown(true)
			_, err = store.Rate(t.Context())
			wantErr(t, err, port.ErrUnavailable)
			_, err = store.Size(t.Context(), "m", "v1")
			wantErr(t, err, port.ErrUnavailable)
		})
	}
}
