#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/routing/route_table.hpp"

namespace pomeloloft::routing {

/// What leads from one version of a table to a later one.
struct table_delta {
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    /// Hash of the table that results.
    std::uint64_t hash = 0;
    /// Routes that are new or changed; a route is known by its host and prefix.
    std::vector<route> changed;
    /// Routes that are gone; only host and prefix are set.
    std::vector<route> removed;
    /// All services, where any has changed.
    std::map<std::string, service> services;
    bool services_changed = false;
    request_limits limits;
};

/// Hash of a table's contents; the order of its routes does not matter.
[[nodiscard]] std::uint64_t hash_of(const route_table& table);

/// What changes from one table to another.
[[nodiscard]] table_delta make_delta(const route_table& from, const route_table& to);

/// Applies a delta.
/// @return the later table; `stale` when the base is another version, `corrupt` when the result has another
/// hash.
[[nodiscard]] result<std::shared_ptr<const route_table>> apply_delta(const route_table& base,
                                                                     const table_delta& delta);

/// A delta as JSON. A whole table is the delta from an empty one.
[[nodiscard]] std::string encode_delta(const table_delta& delta);

/// Reads a delta; errors name the field.
[[nodiscard]] result<table_delta> decode_delta(std::string_view text);

} // namespace pomeloloft::routing
