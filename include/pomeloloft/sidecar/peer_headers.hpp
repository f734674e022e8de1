#pragma once

namespace pomeloloft::sidecar::peer_header {

/// Prefix of all headers between sidecars; never taken from or passed to others.
inline constexpr const char* prefix = "x-pomeloloft-";

/// Service of the route; marks a request as forwarded by a sidecar.
inline constexpr const char* service = "x-pomeloloft-service";
inline constexpr const char* priority = "x-pomeloloft-priority";
/// Longest wait for a slot, in milliseconds.
inline constexpr const char* max_wait = "x-pomeloloft-max-wait";
/// Time left, in milliseconds.
inline constexpr const char* time_left = "x-pomeloloft-time-left";
/// `1` on requests that may run more than once.
inline constexpr const char* idempotent = "x-pomeloloft-idempotent";
/// Names a try of a request that must not run twice, for inquiries.
inline constexpr const char* attempt = "x-pomeloloft-attempt";

/// `NODE INCARNATION` of the process that is meant: after a restart, or where another VM has got the address,
/// what it says of earlier tries would be wrong.
inline constexpr const char* process = "x-pomeloloft-process";

/// `attempt_outcome` of a forwarded request.
inline constexpr const char* outcome = "x-pomeloloft-outcome";
/// `1` where the target's connection broke while it ran the request.
inline constexpr const char* target_disconnected = "x-pomeloloft-broke-target";
/// Expected wait for a slot, in milliseconds.
inline constexpr const char* wait = "x-pomeloloft-wait";
/// `RUNNING WAITING SLOTS SERVICE_US LINK_MS FAILED_PERCENT REJECTED_PERCENT`.
inline constexpr const char* load = "x-pomeloloft-load";
/// The sidecar that sends.
inline constexpr const char* node = "x-pomeloloft-node";
/// Version of the configuration the sender holds.
inline constexpr const char* config = "x-pomeloloft-config";

/// Paths of the listener for other sidecars.
inline constexpr const char* sync_path = "/pomeloloft/sync";
inline constexpr const char* config_path = "/pomeloloft/config";
inline constexpr const char* fence_path = "/pomeloloft/fence";

} // namespace pomeloloft::sidecar::peer_header
