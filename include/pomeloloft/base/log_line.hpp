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

/// Sends structured lines to standard error and names the process in each; before this none are written.
void start_logging(std::string node);

/// Writes one structured line for a change of state.
void log_info(std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes one structured line for a change of state that an operator should look into.
void log_warning(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace pomeloloft
