#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/sync/options.hpp"
#include "pomeloloft/traffic/idempotency.hpp"

namespace pomeloloft {

/// Settings of a proxy process.
struct proxy_settings {
    /// Name of this node, unique in the fleet.
    std::string node;
    std::string data_centre;
    std::string log_address;
    std::vector<std::string> peers;
    /// Addresses of the listeners, as `host:port`.
    std::string caller_address;
    std::string internal_address;
    std::string operator_address;
    std::string local_address;
    std::string peer_address;
    std::string control_address;
    std::string advertise_peer;
    std::string advertise_control;
    milliseconds shutdown_grace{20'000};
    milliseconds log_retention{86'400'000};
    distribution_mode distribution = distribution_mode::tree;
    /// Maximum number of links that concurrently receive a snapshot or a full member table.
    std::size_t max_full_syncs = sync_options{}.max_full_syncs;
    /// Maximum number of concurrent connections per listener for requests.
    std::size_t max_connections = 2048;
    /// Memory of the process in MB.
    std::size_t memory_mb = 256;
    /// File descriptors that the process may have open.
    std::size_t max_descriptors = 4096;
    /// Maximum number of request path decisions recorded for replay; 0 disables recording.
    std::size_t max_recorded_decisions = 0;
    milliseconds key_lifetime = key_options{}.ttl;
};

/// One setting. The help texts, the parsing and the manual are generated from the table of these rows.
struct setting_row {
    std::string_view flag;
    std::string_view variable;
    std::string_view default_value;
    std::string_view help;
    /// Parses `value` into the settings.
    /// @return what is wrong with the value; empty if it is valid.
    std::string (*read)(proxy_settings& settings, const std::string& value);
};

/// All settings of a proxy.
[[nodiscard]] std::span<const setting_row> setting_rows();

/// Reads the settings from flags, falling back to environment variables and then to defaults.
/// @return the settings, or all errors, one per line, each preceded by its flag.
[[nodiscard]] result<proxy_settings> read_settings(const std::vector<std::string>& arguments);

/// The settings as a Markdown table, for the manual.
[[nodiscard]] std::string settings_manual();

} // namespace pomeloloft
