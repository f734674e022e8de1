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

/// What a proxy process is told at its start.
struct proxy_settings {
    std::string node;
    std::string data_centre;
    std::string log_address;
    std::vector<std::string> peers;
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
    /// Links that may receive a snapshot or a whole member table at one time.
    std::size_t max_full_syncs = sync_options{}.max_full_syncs;
    /// Connections that one listener for requests serves at one time.
    std::size_t max_connections = 2048;
    /// Decisions of the request path kept for replay.
    std::size_t max_recorded_decisions = 0;
    milliseconds key_lifetime = key_options{}.ttl;
};

/// One setting: help texts, checks and the manual come from this table.
struct setting_row {
    std::string_view flag;
    std::string_view variable;
    std::string_view default_value;
    std::string_view help;
    /// Reads `value` into the settings; a non-empty answer is what is wrong with it.
    std::string (*read)(proxy_settings& settings, const std::string& value);
};

/// Every setting of a proxy.
[[nodiscard]] std::span<const setting_row> setting_rows();

/// Reads settings from flags, then environment variables, then defaults.
/// @return the settings, or every fault, one per line, each led by its flag.
[[nodiscard]] result<proxy_settings> read_settings(const std::vector<std::string>& arguments);

/// The table as Markdown, for the manual.
[[nodiscard]] std::string settings_manual();

} // namespace pomeloloft
