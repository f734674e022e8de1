#pragma once

namespace pomeloloft::sidecar::peer_header {

/// Prefix of all headers between sidecars; stripped from callers' requests and never passed on.
inline constexpr const char* prefix = "x-pomeloloft-";

/// Service of the route; marks a request as forwarded by a sidecar.
inline constexpr const char* service = "x-pomeloloft-service";
inline constexpr const char* priority = "x-pomeloloft-priority";
/// Longest wait for a slot, in milliseconds.
inline constexpr const char* max_wait = "x-pomeloloft-max-wait";
/// Time left until the deadline, in milliseconds.
inline constexpr const char* time_left = "x-pomeloloft-time-left";
/// `1` on requests that are idempotent.
inline constexpr const char* idempotent = "x-pomeloloft-idempotent";
/// Identifies an attempt of a non-idempotent request, for fence requests.
inline constexpr const char* attempt = "x-pomeloloft-attempt";

/// `NODE INCARNATION` of the intended process: after a restart, or when another VM has taken over the
/// address, its information about earlier attempts would be wrong.
inline constexpr const char* process = "x-pomeloloft-process";

/// `attempt_outcome` of a forwarded request.
inline constexpr const char* outcome = "x-pomeloloft-outcome";
/// Identifies the crash of the target while it ran the request.
inline constexpr const char* crash = "x-pomeloloft-broke-target";
/// Expected wait for a slot, in milliseconds.
inline constexpr const char* wait = "x-pomeloloft-wait";
/// `RUNNING WAITING SLOTS SERVICE_US LINK_MS FAILED_PERCENT REJECTED_PERCENT`.
inline constexpr const char* load = "x-pomeloloft-load";
/// Time from a request's arrival to its response at the peer, in microseconds.
inline constexpr const char* held = "x-pomeloloft-held";
/// Node of the sending sidecar.
inline constexpr const char* node = "x-pomeloloft-node";
/// Configuration version that the sender holds.
inline constexpr const char* config = "x-pomeloloft-config";

/// Paths on the listener for other sidecars.
inline constexpr const char* sync_path = "/pomeloloft/sync";
inline constexpr const char* config_path = "/pomeloloft/config";
inline constexpr const char* quota_path = "/pomeloloft/quota";
inline constexpr const char* fence_path = "/pomeloloft/fence";

} // namespace pomeloloft::sidecar::peer_header
