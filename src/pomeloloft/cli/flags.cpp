#include "pomeloloft/cli/flags.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <nlohmann/json.hpp>

#include "pomeloloft/cli/operator_client.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

std::string default_proxy()
{
    const char* variable = std::getenv("POMELOLOFT_PROXY"); // NOLINT(concurrency-mt-unsafe)
    return variable != nullptr ? variable : "127.0.0.1:8082";
}

void print_flags(TCLAP::CmdLine& line, const std::string& name)
{
    std::cout << line.getMessage() << "\n\nusage: pomeloloft " << name << " [FLAGS]\n";
    for (TCLAP::Arg* flag : line.getArgList()) {
        std::cout << "  " << flag->longID() << "\n      " << flag->getDescription() << "\n";
    }
}

} // namespace

common_flags::common_flags(const std::string& description)
    : line(description, ' ', version_text, false), help("h", "help", "show this help", this->line),
      proxy("", "proxy", "address of the operator listener of any proxy [POMELOLOFT_PROXY]", false,
            default_proxy(), "host:port", line),
      output("", "output", "output format: text or json", false, "text", "format", line)
{
    this->line.setExceptionHandling(false);
}

int to_int(exit_code code)
{
    return static_cast<int>(code);
}

int fail(exit_code code, const error& failure)
{
    std::cerr << "pomeloloft: " << to_string(failure) << "\n";
    return to_int(code);
}

bool is_help_requested(const argument_list& arguments)
{
    return std::any_of(arguments.begin(), arguments.end(),
                       [](const std::string& a) { return a == "--help" || a == "-h"; });
}

std::optional<int> parse_flags(common_flags& flags, const std::string& name, const argument_list& arguments)
{
    argument_list full{"pomeloloft " + name};
    full.insert(full.end(), arguments.begin(), arguments.end());
    if (is_help_requested(arguments)) {
        print_flags(flags.line, name);
        return to_int(exit_code::ok);
    }
    try {
        flags.line.parse(full);
    } catch (const TCLAP::ArgException& failure) {
        return fail(exit_code::usage, {error_code::invalid, failure.argId(), failure.error()});
    }
    if (flags.output.getValue() != "text" && flags.output.getValue() != "json") {
        return fail(exit_code::usage, {error_code::invalid, "--output", "must be text or json"});
    }
    return std::nullopt;
}

result<json> get_json(const common_flags& flags, const std::string& path)
{
    BOOST_OUTCOME_TRY(auto response, call_operator(flags.proxy.getValue(), "GET", path));
    json body = json::parse(response.body, nullptr, false);
    constexpr int ok = 200;
    if (response.status != ok) {
        const std::string message = body.is_object() ? body.value("message", response.body) : response.body;
        return error{error_code::refused, flags.proxy.getValue(), message};
    }
    if (!body.is_object()) {
        return error{error_code::corrupt, flags.proxy.getValue(), "the response is not a JSON object"};
    }
    return body;
}

exit_code exit_code_for(const error& failure)
{
    return failure.code == error_code::unavailable ? exit_code::unreachable : exit_code::failed;
}

std::string display_text(const json& value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? "-" : value.dump();
}

} // namespace pomeloloft
