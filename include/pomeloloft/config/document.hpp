#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// Priority class of a request, by who waits for its response. Under overload, a later class is shed before
/// an earlier one.
enum class priority : std::uint8_t { interactive, standard, automated };

/// Names of `priority` in declarations.
inline constexpr name_table<priority, 3> priority_names{{
    {priority::interactive, "interactive"},
    {priority::standard, "standard"},
    {priority::automated, "automated"},
}};

/// Number of priority classes.
inline constexpr std::size_t priority_count = priority_names.size();

/// What the distribution of changes is optimised for: short convergence time or few control bytes.
enum class distribution_preset : std::uint8_t { convergence, bytes };

/// Names of `distribution_preset` in declarations.
inline constexpr name_table<distribution_preset, 2> distribution_preset_names{{
    {distribution_preset::convergence, "convergence"},
    {distribution_preset::bytes, "bytes"},
}};

/// Declared parameters for distributing changes: a preset, and overrides of its values.
struct distribution {
    distribution_preset preset = distribution_preset::convergence;
    /// Children per parent in the planned tree.
    std::optional<std::uint32_t> fan_out;
    /// Time between heartbeats on a link; the lease of a link is three times as long.
    std::optional<std::uint32_t> heartbeat_ms;
    /// Minimum time between two frames with changes on a link, so that changes are batched.
    std::optional<std::uint32_t> batch_window_ms;
};

/// Whether a target has the declared number of slots, or a number that its proxy adapts up to the declared
/// one.
enum class slot_limit : std::uint8_t { declared, adaptive };

/// Names of `slot_limit` in declarations.
inline constexpr name_table<slot_limit, 2> slot_limit_names{{
    {slot_limit::declared, "declared"},
    {slot_limit::adaptive, "adaptive"},
}};

/// Limits for each target of a service.
struct service {
    slot_limit limit = slot_limit::declared;
    /// Maximum number of requests that the target runs concurrently.
    std::uint32_t slots = 10;
    std::uint32_t connections = 100;
    /// Maximum number of requests that wait for a slot.
    std::uint32_t queue = 50;
    /// Time during which a new endpoint receives a reduced share of the requests; 0 turns slow start off.
    std::uint32_t slow_start_ms = 3000;
};

/// Rule for requests with a given path prefix and one of the listed methods.
struct route {
    std::string prefix;
    std::vector<std::string> methods;
    std::string service;
    bool idempotent = false;
    /// Served only to requests from internal listeners.
    bool internal = false;
    pomeloloft::priority priority = pomeloloft::priority::standard;
    std::uint32_t deadline_ms = 5000;
};

/// A complete configuration, typed and validated.
struct document {
    std::vector<std::string> data_centres;
    pomeloloft::distribution distribution;
    std::map<std::string, pomeloloft::service> services;
    std::map<std::string, pomeloloft::route> routes;
};

/// Maximum size of a document's canonical JSON text, in bytes.
inline constexpr std::size_t max_document_bytes = 4U << 20U;

/// Parses and validates a document.
/// @return the document, or `invalid` with all errors, one per line, each prefixed with its JSON pointer.
[[nodiscard]] result<document> parse_document(const nlohmann::json& source);

/// Reads a declarations file in YAML or JSON.
/// @return its JSON form; errors name the file and line.
[[nodiscard]] result<nlohmann::json> load_declarations(const std::string& path);

} // namespace pomeloloft
