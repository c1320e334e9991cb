package admin

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/control"
)

// writeError writes the admin.Error that corresponds to err.
func writeError(w http.ResponseWriter, err error) {
	var conflict *config.ConflictError
	var refused *config.RefusalError
	switch {
	case errors.As(err, &conflict):
		writeAdminError(w, &admin.Error{Kind: admin.Conflict, Message: conflict.Message(), Remedy: conflict.Remedy()})
	case errors.As(err, &refused):
		writeAdminError(w, &admin.Error{Kind: errorKind(refused.Kind), Message: refused.Message, Remedy: refused.Remedy})
	case errors.Is(err, control.ErrStoreUnavailable):
		writeAdminError(w, &admin.Error{
			Kind: admin.StoreUnavailable, Message: err.Error(),
			Remedy: "query the operation; if it is unknown, send the change again with the same operation ID",
		})
	default:
		writeAdminError(w, &admin.Error{
			Kind: admin.Internal, Message: err.Error(),
			Remedy: "query the operation; if it is unknown, send the change again with the same operation ID",
		})
	}
}

func errorKind(kind config.RefusalKind) admin.ErrorKind {
	switch kind {
	case config.BadChange:
		return admin.BadRequest
	case config.NotFound:
		return admin.NotFound
	default:
		return admin.Refused
	}
}

func writeAdminError(w http.ResponseWriter, err *admin.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Status())
	json.NewEncoder(w).Encode(err)
}
