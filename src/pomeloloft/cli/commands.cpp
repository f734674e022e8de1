#include "pomeloloft/cli/commands.hpp"

#include <array>
#include <iostream>
#include <string_view>

#include "pomeloloft/cli/command_list.hpp"

namespace pomeloloft {
namespace {

int run_version(const argument_list&)
{
    std::cout << "pomeloloft " << version_text << "\n";
    return to_int(exit_code::ok);
}

struct command {
    std::string_view name;
    std::string_view help;
    int (*run)(const argument_list& arguments);
};

constexpr std::array<command, 14> commands{{
    {"proxy", "run the proxy of a target", run_proxy},
    {"sidecar", "run the sidecar of a target on the platform", run_sidecar},
    {"check", "validate declarations offline", run_check},
    {"diff", "show how declarations differ from the current version", run_diff},
    {"apply", "apply declarations to the fleet", run_apply},
    {"patch submit", "submit a patch against a version", run_patch_submit},
    {"config show", "show the current configuration or a recent version", run_config_show},
    {"status", "show each proxy, its version and its lag", run_status},
    {"routes", "show the routes of a proxy", run_routes},
    {"audit", "show the audit trail", run_audit},
    {"decisions", "print the request decisions recorded by a proxy", run_decisions},
    {"replay", "replay recorded decisions and print those whose outcome differs", run_replay},
    {"settings", "print the proxy's settings as a table", run_settings},
    {"version", "print the version", run_version},
}};

void print_usage(std::ostream& out)
{
    out << "usage: pomeloloft COMMAND [FLAGS]; COMMAND --help lists the flags of a command\n\n";
    constexpr std::size_t name_width = 14;
    for (const command& c : commands) {
        out << "  " << c.name << std::string(name_width - c.name.size(), ' ') << c.help << "\n";
    }
    out << "\nexit codes:";
    for (const auto& row : exit_code_names) {
        out << " " << static_cast<int>(row.value) << " " << row.name;
    }
    out << "\n";
}

std::size_t word_count(std::string_view name)
{
    return name.find(' ') == std::string_view::npos ? 1 : 2;
}

std::string first_words(const argument_list& arguments, std::size_t count)
{
    if (arguments.size() < count) {
        return {};
    }
    return count == 1 ? arguments[0] : arguments[0] + " " + arguments[1];
}

} // namespace

int run_command(const std::vector<std::string>& arguments)
{
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "help")) {
        print_usage(std::cout);
        return to_int(exit_code::ok);
    }
    for (const command& c : commands) {
        const std::size_t words = word_count(c.name);
        if (first_words(arguments, words) == c.name) {
            return c.run({arguments.begin() + static_cast<std::ptrdiff_t>(words), arguments.end()});
        }
    }
    if (!arguments.empty()) {
        std::cerr << "pomeloloft: unknown command: " << arguments[0] << "\n";
    }
    print_usage(std::cerr);
    return to_int(exit_code::usage);
}

} // namespace pomeloloft
