package platform

import (
	"encoding/json"
	"net/http"

	"goji.io/pat"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fault"
)

// maxVMBytes bounds the body of a request that sets a VM.
const maxVMBytes = 64 << 10

// servePutVM adds or replaces one VM.
func (platform *Platform) servePutVM(writer http.ResponseWriter, request *http.Request) {
	var vm wire.VM
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxVMBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&vm); err != nil {
		fault.WriteError(writer, http.StatusBadRequest, "VM: "+err.Error())
		return
	}
	if vm.Address == "" {
		fault.WriteError(writer, http.StatusBadRequest, "VM: address is missing")
		return
	}
	platform.SetVM(vm)
	writer.WriteHeader(http.StatusNoContent)
}

// serveDeleteVM removes one VM.
func (platform *Platform) serveDeleteVM(writer http.ResponseWriter, request *http.Request) {
	platform.RemoveVM(pat.Param(request, "address"))
	writer.WriteHeader(http.StatusNoContent)
}
