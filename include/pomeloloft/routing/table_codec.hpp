#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/routing/route_table.hpp"

namespace pomeloloft::routing {

/// Difference between one version of a route table and a later one.
struct table_delta {
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    /// Hash of the resulting table.
    std::uint64_t hash = 0;
    /// Routes that are new or changed. A route is identified by its host and prefix.
    std::vector<route> changed;
    /// Removed routes; only `host` and `prefix` are set.
    std::vector<route> removed;
    /// All services of the later version if any service has changed; otherwise empty.
    std::map<std::string, service> services;
    bool services_changed = false;
    request_limits limits;
    /// `requires_keys` of the later version.
    bool requires_keys = false;
    /// Organisations that are new or changed, identified by their names.
    std::vector<organisation> changed_organisations;
    std::vector<std::string> removed_organisations;
};

/// Hash of the contents of a table, including its version. It does not depend on the order of the routes.
[[nodiscard]] std::uint64_t hash_of(const route_table& table);

/// Computes the delta between two tables.
[[nodiscard]] table_delta make_delta(const route_table& from, const route_table& to);

/// Applies a delta.
/// @return the later table; `stale` if the base has a different version than the delta requires, `corrupt` if
/// the hash of the result differs, or the errors of `build_table`.
[[nodiscard]] result<std::shared_ptr<const route_table>> apply_delta(const route_table& base,
                                                                     const table_delta& delta);

/// Serialises a delta as JSON. A complete table is sent as the delta from an empty one.
[[nodiscard]] std::string encode_delta(const table_delta& delta);

/// Parses a delta.
/// @return `corrupt` with the message of the JSON parser, which usually names the field.
[[nodiscard]] result<table_delta> decode_delta(std::string_view text);

} // namespace pomeloloft::routing
