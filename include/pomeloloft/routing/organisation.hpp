#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft::routing {

/// An organisation that shares the services with others. Its callers identify themselves with keys.
struct organisation {
    std::string name;
    std::vector<std::string> keys;
    /// Priority class of its requests, compared before that of the route; 0 is the highest.
    std::uint32_t priority = 0;
    /// Requests per second over all VMs; 0 for no limit.
    double rate_per_s = 0;
    /// Requests beyond the rate that may arrive at once.
    double burst = 0;
};

/// Hash of keys that looks them up without a copy.
struct key_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const { return hash_bytes(key); }
};

/// Positions of organisations by key.
using key_index = std::unordered_map<std::string, std::size_t, key_hash, std::equal_to<>>;

struct route;
struct route_table;

/// The sender of a request, as its key tells.
struct caller_identity {
    /// False if the request must be answered with 401.
    bool admitted = false;
    /// Null for a caller without a key, and while no organisation is configured. Valid as long as the table.
    const organisation* member_of = nullptr;
};

/// Returns the key in the value of an authorization header; empty if the header has another scheme or none.
/// The name of the scheme is compared without regard to case.
[[nodiscard]] std::string_view key_in(std::string_view authorization, std::string_view scheme);

/// Identifies the caller of a request by its key.
/// @param key empty for a request without one.
[[nodiscard]] caller_identity identify_caller(const route_table& table, const route& r, std::string_view key);

/// Rank of a request in the queue of a target, smaller first: by the priority of the caller's organisation,
/// then by that of the route. Requests without an organisation, such as the calls of running requests, come
/// first: a refused call wastes the run that made it.
[[nodiscard]] std::uint32_t rank_of(const organisation* caller, const route& r);

} // namespace pomeloloft::routing
