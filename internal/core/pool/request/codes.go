package request

// Code is the machine-readable reason for which a request is refused or its
// response is aborted.
type Code string

// Codes of refusals. In CodeKeyRequired and CodeKeyReused the key is the
// idempotency key, in CodeKeyWithdrawn it is the API key.
const (
	CodeNotReady         Code = "not_ready"
	CodeStopping         Code = "stopping"
	CodeUnknownRoute     Code = "unknown_route"
	CodeUnknownOperation Code = "unknown_operation"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeStaleConfig      Code = "stale_configuration"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeStillRunning     Code = "still_running"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeNoTarget         Code = "no_target"
	CodeOverloaded       Code = "overloaded"
	CodeTimeout          Code = "timeout"
	CodeTargetFailed     Code = "target_failed"
	CodeKeyWithdrawn     Code = "key_withdrawn"
	CodePoison           Code = "crashes_targets"
)

// HTTP statuses of refusals. They are repeated here because reducers must not
// import net/http.
const (
	statusBadRequest          = 400
	statusUnauthorized        = 401
	statusForbidden           = 403
	statusNotFound            = 404
	statusConflict            = 409
	statusUnprocessableEntity = 422
	statusTooManyRequests     = 429
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusGatewayTimeout      = 504
)
