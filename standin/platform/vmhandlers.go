package platform

import (
	"encoding/json"
	"net/http"

	"goji.io/pat"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fault"
)

// maxVmBytes bounds the body of a request that sets a VM.
const maxVmBytes = 64 << 10

// servePutVm adds or replaces one VM.
func (platform *Platform) servePutVm(writer http.ResponseWriter, request *http.Request) {
	var vm wire.Vm
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxVmBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&vm); err != nil {
		fault.WriteError(writer, http.StatusBadRequest, "VM: "+err.Error())
		return
	}
	if vm.Address == "" {
		fault.WriteError(writer, http.StatusBadRequest, "VM: address is missing")
		return
	}
	platform.SetVm(vm)
	writer.WriteHeader(http.StatusNoContent)
}

// serveDeleteVm removes one VM.
func (platform *Platform) serveDeleteVm(writer http.ResponseWriter, request *http.Request) {
	platform.RemoveVm(pat.Param(request, "address"))
	writer.WriteHeader(http.StatusNoContent)
}
