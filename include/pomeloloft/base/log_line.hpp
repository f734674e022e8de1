#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pomeloloft {

/// One `key=value` pair of a structured log line.
struct log_field {
    log_field(std::string_view field_key, std::string field_value);
    log_field(std::string_view field_key, std::string_view field_value);
    log_field(std::string_view field_key, const char* field_value);
    log_field(std::string_view field_key, std::int64_t field_value);
    log_field(std::string_view field_key, std::uint64_t field_value);
    log_field(std::string_view field_key, int field_value);

    std::string_view key;
    std::string value;
};

/// Starts writing structured log lines to standard error; lines logged before this call are dropped.
/// @param node name of this process, written in each line.
void start_logging(std::string node);

/// Logs a state change at level INFO.
void log_info(std::string_view event, std::initializer_list<log_field> fields = {});

/// Logs at level WARNING a state change that an operator should investigate.
void log_warning(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace pomeloloft
