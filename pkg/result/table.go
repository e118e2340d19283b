package result

import "net/http"

// Table lists all codes in ascending order. The Help text explains the code or
// states what callers and operators should do.
var Table = []Entry{
	{OK, "ok", http.StatusOK, "The request ran and the answer is whole."},
	{InvalidRequest, "invalid_request", http.StatusBadRequest, "Correct the request; the message names the field."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, "Send a valid key of the workspace."},
	{UnknownWorkspace, "unknown_workspace", http.StatusForbidden, "Create the workspace with jackdawctl."},
	{UnknownClass, "unknown_class", http.StatusBadRequest, "Create the class with jackdawctl or correct the header."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No backend server announces this model or service."},
	{TargetUnreachable, "target_unreachable", http.StatusTooManyRequests, "The class may not wait and its target cannot be met now. Come back after Retry-After."},
	{WaitExpired, "wait_expired", http.StatusServiceUnavailable, "The longest wait of the class has passed. Come back after Retry-After."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, "The workspace has too many waiting requests."},
	{RateLimited, "rate_limited", http.StatusTooManyRequests, "The workspace passed its request rate."},
	{DataCentreOut, "data_centre_out", http.StatusServiceUnavailable, "The data centre is out and no other one can take the request."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, "The router has no configuration yet. Try another entry host."},
	{ShuttingDown, "shutting_down", http.StatusServiceUnavailable, "The router is shutting down. Try another entry host."},
	{ControlUnavailable, "control_unavailable", http.StatusServiceUnavailable, "No control majority is reachable and the keyed request may not run twice."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, "The request is larger than the settings allow."},
	{NoServer, "no_server", http.StatusServiceUnavailable, "No backend server of this pool is ready."},
	{KeyConflict, "key_conflict", http.StatusUnprocessableEntity, "The idempotency key was used for another request."},
	{KeyTableFull, "key_table_full", http.StatusServiceUnavailable, "The table of idempotency records is full."},
	{ConnectFailed, "connect_failed", http.StatusBadGateway, "The backend server could not be reached; nothing was sent."},
	{CallerLeftWaiting, "caller_left_waiting", 499, "The caller left before the request was sent."},
	{AnnouncementRefused, "announcement_refused", http.StatusForbidden, "The announcement is not valid for its credential."},
	{OwnerUnavailable, "owner_unavailable", http.StatusServiceUnavailable, "The owner of the pool changed and none answered in time."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, "No route of the configuration has this host and path."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, "The headers are larger than the configuration allows."},
	{DeadlinePassed, "deadline_passed", http.StatusServiceUnavailable, "The time of the request passed before it was sent to a server."},
	{HostBusy, "host_busy", http.StatusServiceUnavailable, "The processor or the memory for request bodies of this entry host is used up. Try another entry host."},
	{PartQuarantined, "part_quarantined", http.StatusBadRequest, "Backend servers crashed on a part of this prompt, so the request was not run. Do not retry it; change the prompt, or ask the operators to release the part."},
	{RequestQuarantined, "request_quarantined", http.StatusBadRequest, "Backend servers crashed each time that this same request was sent, so it was not run. Do not retry it; change the request, or ask the operators to release it."},
	{StreamUnknown, "stream_unknown", http.StatusServiceUnavailable, "It is not known which software version began this stream, so the request was not run. Send it again from its beginning, without Last-Event-Id."},
	{RecordsUnread, "records_unread", http.StatusServiceUnavailable, "The entry host could not ask which software version began this stream. Come back after Retry-After."},
	{ReleaseGone, "release_gone", http.StatusServiceUnavailable, "No backend server of the software version that began this stream is left. Begin it anew."},
	{ReleaseFull, "release_full", http.StatusServiceUnavailable, "The backend servers of the software version that began this stream are full. Come back after Retry-After."},
	{OutcomeUnknown, "outcome_unknown", http.StatusConflict, "The request may have run. Check before sending it under a new key."},
	{StillRunning, "still_running", http.StatusConflict, "The request with this key is running. Ask again after Retry-After."},
	{StreamBroken, "stream_broken", http.StatusBadGateway, "The answer broke off; the request may have run."},
	{ServerSilent, "server_silent", http.StatusGatewayTimeout, "The backend server made no progress; the request may have run."},
	{CallerLeft, "caller_left", 499, "The caller left after the request was sent."},
	{IdentityMismatch, "identity_mismatch", http.StatusBadGateway, "The backend server answered another request; the answer was dropped."},
	{ReleaseChanged, "release_changed", http.StatusBadGateway, "The stream broke off or was taken up, and what answers now has another software version or does not show that it has the same. Send the request again from its beginning."},
	{StoredAnswer, "stored_answer", http.StatusOK, "The answer of the first run of this key."},
	{ServerError, "server_error", http.StatusBadGateway, "The backend server answered with an error."},
	{AnswerTooLarge, "answer_too_large", http.StatusConflict, "The request ran; its answer was too large to store."},
	{RevisionConflict, "revision_conflict", 0, "Another change came first. Read the present values and decide again."},
	{NotLeader, "not_leader", 0, "Ask the control host named in the message."},
	{NoQuorum, "no_quorum", 0, "A majority of the control hosts cannot be reached. Resend the command with the same id."},
	{NotFound, "not_found", 0, "The named item does not exist."},
	{MemberPending, "member_pending", 0, "Another membership change is not finished."},
	{NotCaughtUp, "not_caught_up", 0, "The learner has not caught up. Try again later."},
	{CommandReused, "command_reused", 0, "The command id was used for another command."},
	{InvalidCommand, "invalid_command", 0, "Correct the command; the message names the field."},
	{NotAuthorized, "not_authorized", 0, "The operator credential was refused."},
	{FenceStale, "fence_stale", 0, "A newer holder has the fencing number."},
	{LogDamaged, "log_damaged", 0, "A record in the middle of the log is damaged. Replace the control host."},
	{DiskFull, "disk_full", 0, "The disk of the data folder is full. The host gives up the lead."},
	{FolderLocked, "folder_locked", 0, "Another process uses the data folder."},
	{InvalidSettings, "invalid_settings", 0, "Correct the settings; the message names file and line."},
	{SyncFailed, "sync_failed", 0, "A sync of the data folder failed; the process stopped."},
}

// byCode is Table indexed by code.
var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(Table))
	for _, e := range Table {
		m[e.Code] = e
	}
	return m
}()
