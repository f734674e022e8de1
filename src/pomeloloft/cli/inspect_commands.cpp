#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

#include "pomeloloft/cli/command_list.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

void print_table(const json& rows, const std::vector<std::string>& columns)
{
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t width = column.size();
        for (const json& row : rows) {
            width = std::max(width, display_text(row.value(column, json())).size());
        }
        widths.push_back(width + 2);
    }
    const auto print_cell = [&widths](std::size_t i, const std::string& text) {
        std::cout << text << std::string(widths[i] - text.size(), ' ');
    };
    for (std::size_t i = 0; i < columns.size(); ++i) {
        print_cell(i, columns[i]);
    }
    std::cout << "\n";
    for (const json& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            print_cell(i, display_text(row.value(columns[i], json())));
        }
        std::cout << "\n";
    }
}

/// A command that prints one list from a response as a table.
struct listing {
    const char* name;
    const char* help;
    const char* path;
    const char* list;
    std::vector<std::string> columns;
};

int run_listing(const listing& command, const argument_list& arguments)
{
    common_flags flags(command.help);
    if (const auto exit_status = parse_flags(flags, command.name, arguments)) {
        return *exit_status;
    }
    const auto response = get_json(flags, command.path);
    if (!response) {
        return fail(exit_code_for(response.error()), response.error());
    }
    if (flags.as_json()) {
        std::cout << response.value().dump(2) << "\n";
        return to_int(exit_code::ok);
    }
    print_table(response.value().at(command.list), command.columns);
    return to_int(exit_code::ok);
}

} // namespace

int run_config_show(const argument_list& arguments)
{
    common_flags flags("Shows the current configuration, or a recent version.");
    string_flag version("", "version", "number of a recent version; the current one by default", false, "",
                        "number", flags.line);
    if (const auto exit_status = parse_flags(flags, "config show", arguments)) {
        return *exit_status;
    }
    const std::string path =
        version.getValue().empty() ? "/v1/config" : "/v1/config?version=" + version.getValue();
    const auto response = get_json(flags, path);
    if (!response) {
        return fail(exit_code_for(response.error()), response.error());
    }
    if (!flags.as_json()) {
        std::cout << "version " << response.value().at("version") << " hash "
                  << display_text(response.value().at("hash")) << "\n"
                  << response.value().at("document").dump(2) << "\n";
        return to_int(exit_code::ok);
    }
    std::cout << response.value().dump(2) << "\n";
    return to_int(exit_code::ok);
}

int run_status(const argument_list& arguments)
{
    return run_listing(
        {"status",
         "Shows each proxy, its version and its lag.",
         "/v1/fleet",
         "proxies",
         {"node", "data_centre", "service", "state", "reachable", "ready", "reader", "version", "lag"}},
        arguments);
}

int run_routes(const argument_list& arguments)
{
    return run_listing({"routes",
                        "Shows the routes of a proxy, and how many endpoints it knows for each.",
                        "/v1/view",
                        "routes",
                        {"route", "prefix", "methods", "service", "endpoints"}},
                       arguments);
}

int run_audit(const argument_list& arguments)
{
    return run_listing(
        {"audit",
         "Shows the audit trail: each patch with its author, base version and outcome.",
         "/v1/audit",
         "entries",
         {"offset", "submitted_at_ms", "author", "patch", "base", "outcome", "version", "message", "reason"}},
        arguments);
}

} // namespace pomeloloft
