#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <tclap/CmdLine.h>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/cli/commands.hpp"

namespace pomeloloft {

/// The arguments after a command's name.
using argument_list = std::vector<std::string>;

/// A flag with a string value.
using string_flag = TCLAP::ValueArg<std::string>;

/// Flags that most operator commands share.
struct common_flags {
    /// @param description help text of the command.
    explicit common_flags(const std::string& description);

    /// Whether output is to be JSON.
    [[nodiscard]] bool as_json() const { return this->output.getValue() == "json"; }

    // TCLAP's own --version would conflict with `config show --version`. Its built-in flags are off, so
    // --help is declared here.
    TCLAP::CmdLine line;
    TCLAP::SwitchArg help;
    mutable string_flag proxy;
    mutable string_flag output;
};

/// Parses a command's arguments. Prints the help if it is requested, or an error if they are invalid.
/// @return the exit code if the command is not to run, or nothing.
[[nodiscard]] std::optional<int> parse_flags(common_flags& flags, const std::string& name,
                                             const argument_list& arguments);

/// Whether the arguments request help.
[[nodiscard]] bool is_help_requested(const argument_list& arguments);

/// The numeric value of an exit code.
[[nodiscard]] int to_int(exit_code code);

/// Prints an error to standard error.
/// @return the numeric value of `code`.
int fail(exit_code code, const error& failure);

/// The exit code for a failed request to a proxy.
[[nodiscard]] exit_code exit_code_for(const error& failure);

/// Fetches a JSON object from the proxy's operator listener.
[[nodiscard]] result<nlohmann::json> get_json(const common_flags& flags, const std::string& path);

/// Formats a JSON value for tables and messages: strings without quotes, null as `-`.
[[nodiscard]] std::string display_text(const nlohmann::json& value);

} // namespace pomeloloft
