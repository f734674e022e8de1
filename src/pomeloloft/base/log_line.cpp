#include "pomeloloft/base/log_line.hpp"

#include <easylogging++.h>

#include <atomic>
#include <iostream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace pomeloloft {
namespace {

std::string& node_name()
{
    static std::string name = "-";
    return name;
}

/// Writes log lines to standard error. The library writes to standard output, which is reserved for the
/// output of commands.
class error_stream_sink : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) noexcept override
    {
        const el::LogMessage* message = data->logMessage();
        std::cerr << message->logger()->logBuilder()->build(message, true) << std::flush;
    }
};

std::atomic<bool>& logging_started()
{
    static std::atomic<bool> flag{false};
    return flag;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += (c == '\n' || c == '\r') ? ' ' : c;
    }
    line += '"';
}

std::string format_line(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "event=";
    append_value(line, event);
    line += " node=";
    append_value(line, node_name());
    for (const log_field& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

} // namespace

log_field::log_field(std::string_view field_key, std::string field_value)
    : key(field_key), value(std::move(field_value))
{}
log_field::log_field(std::string_view field_key, std::string_view field_value)
    : key(field_key), value(field_value)
{}
log_field::log_field(std::string_view field_key, const char* field_value) : key(field_key), value(field_value)
{}
log_field::log_field(std::string_view field_key, std::int64_t field_value)
    : key(field_key), value(std::to_string(field_value))
{}
log_field::log_field(std::string_view field_key, std::uint64_t field_value)
    : key(field_key), value(std::to_string(field_value))
{}
log_field::log_field(std::string_view field_key, int field_value)
    : key(field_key), value(std::to_string(field_value))
{}

void start_logging(std::string node)
{
    node_name() = std::move(node);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::installLogDispatchCallback<error_stream_sink>("error-stream");
    logging_started() = true;
}

void log_info(std::string_view event, std::initializer_list<log_field> fields)
{
    if (logging_started()) {
        LOG(INFO) << format_line(event, fields);
    }
}

void log_warning(std::string_view event, std::initializer_list<log_field> fields)
{
    if (logging_started()) {
        LOG(WARNING) << format_line(event, fields);
    }
}

} // namespace pomeloloft
