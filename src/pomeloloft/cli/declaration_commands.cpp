#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "pomeloloft/cli/command_list.hpp"
#include "pomeloloft/cli/operator_client.hpp"
#include "pomeloloft/config/document.hpp"
#include "pomeloloft/config/patch.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

void print_patch_outcome(const common_flags& flags, const json& body)
{
    if (flags.as_json()) {
        std::cout << body.dump(2) << "\n";
        return;
    }
    const std::string outcome = body.value("outcome", "unknown");
    std::cout << outcome;
    if (outcome == "accepted") {
        std::cout << ": version " << display_text(body.value("version", json())) << " at offset "
                  << display_text(body.value("offset", json()));
    }
    for (const char* field : {"reason", "message", "next_step"}) {
        const std::string text = body.value(field, "");
        if (!text.empty() && (outcome != "accepted" || std::string(field) != "message")) {
            std::cout << "\n  " << field << ": " << text;
        }
    }
    std::cout << "\n";
}

exit_code exit_code_for_outcome(const std::string& outcome)
{
    static constexpr std::array<std::pair<std::string_view, exit_code>, 5> codes{{
        {"accepted", exit_code::ok},
        {"stale", exit_code::stale},
        {"invalid", exit_code::invalid},
        {"malformed", exit_code::invalid},
        {"unknown", exit_code::unknown},
    }};
    for (const auto& [name, code] : codes) {
        if (name == outcome) {
            return code;
        }
    }
    return exit_code::failed;
}

int submit(const common_flags& flags, const patch& p)
{
    const auto response = call_operator(flags.proxy.getValue(), "POST", "/v1/patches", encode_patch(p));
    if (!response) {
        return fail(exit_code::unreachable, response.error());
    }
    const json body = json::parse(response.value().body, nullptr, false);
    if (!body.is_object()) {
        return fail(exit_code::failed,
                    {error_code::corrupt, flags.proxy.getValue(), "the response is not a JSON object"});
    }
    print_patch_outcome(flags, body);
    return to_int(exit_code_for_outcome(body.value("outcome", "unknown")));
}

std::string default_author()
{
    const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user != nullptr && *user != '\0' ? user : "unknown";
}

/// Operations that turn the current version into the declarations.
struct difference {
    /// The current version, which the operations are based on.
    std::uint64_t base = 0;
    /// RFC 6902 operations.
    json operations;
};

result<difference> compute_difference(const common_flags& flags, const std::string& file)
{
    BOOST_OUTCOME_TRY(auto declared, load_declarations(file));
    const auto doc = parse_document(declared);
    if (!doc) {
        return error{error_code::invalid, file, "\n" + doc.error().message};
    }
    BOOST_OUTCOME_TRY(auto current, get_json(flags, "/v1/config"));
    difference out;
    out.base = current.at("version").get<std::uint64_t>();
    out.operations = json::diff(current.at("document"), declared);
    return out;
}

int fail_difference(const error& failure)
{
    const bool bad_file = failure.code == error_code::invalid || failure.code == error_code::not_found;
    return fail(bad_file ? exit_code::invalid : exit_code_for(failure), failure);
}

} // namespace

int run_check(const argument_list& arguments)
{
    common_flags flags("Validates declarations offline, without a fleet.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "declarations, YAML or JSON", true, "", "file",
                                               flags.line);
    if (const auto exit_status = parse_flags(flags, "check", arguments)) {
        return *exit_status;
    }
    const auto declared = load_declarations(file.getValue());
    if (!declared) {
        return fail(exit_code::invalid, declared.error());
    }
    const auto doc = parse_document(declared.value());
    if (!doc) {
        return fail(exit_code::invalid, {error_code::invalid, file.getValue(), "\n" + doc.error().message});
    }
    if (flags.as_json()) {
        std::cout
            << json{{"services", doc.value().services.size()}, {"routes", doc.value().routes.size()}}.dump()
            << "\n";
    } else {
        std::cout << "ok: " << doc.value().services.size() << " services, " << doc.value().routes.size()
                  << " routes\n";
    }
    return to_int(exit_code::ok);
}

int run_diff(const argument_list& arguments)
{
    common_flags flags("Shows how declarations differ from the current version.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "declarations, YAML or JSON", true, "", "file",
                                               flags.line);
    if (const auto exit_status = parse_flags(flags, "diff", arguments)) {
        return *exit_status;
    }
    const auto found = compute_difference(flags, file.getValue());
    if (!found) {
        return fail_difference(found.error());
    }
    if (flags.as_json()) {
        std::cout << json{{"base", found.value().base}, {"operations", found.value().operations}}.dump(2)
                  << "\n";
        return to_int(exit_code::ok);
    }
    std::cout << "against version " << found.value().base << ": " << found.value().operations.size()
              << " operations\n";
    for (const json& operation : found.value().operations) {
        std::cout << "  " << operation.dump() << "\n";
    }
    return to_int(exit_code::ok);
}

int run_apply(const argument_list& arguments)
{
    common_flags flags("Applies declarations to the fleet: submits the difference as one patch.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "declarations, YAML or JSON", true, "", "file",
                                               flags.line);
    string_flag author("", "author", "author of the change", false, default_author(), "name", flags.line);
    string_flag message("", "message", "reason for the change", false, "", "text", flags.line);
    if (const auto exit_status = parse_flags(flags, "apply", arguments)) {
        return *exit_status;
    }
    const auto found = compute_difference(flags, file.getValue());
    if (!found) {
        return fail_difference(found.error());
    }
    if (found.value().operations.empty()) {
        std::cout << (flags.as_json() ? "{\"outcome\": \"unchanged\"}" : "unchanged") << "\n";
        return to_int(exit_code::ok);
    }
    patch p;
    p.id = make_patch_id();
    p.author = author.getValue();
    p.message = message.getValue();
    p.base_version = found.value().base;
    p.operations = found.value().operations.dump();
    return submit(flags, p);
}

int run_patch_submit(const argument_list& arguments)
{
    common_flags flags("Submits a patch: a JSON list of RFC 6902 operations.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "operations, JSON", true, "", "file", flags.line);
    TCLAP::ValueArg<std::uint64_t> base("", "base", "version the patch is written against", true, 0,
                                        "version", flags.line);
    string_flag id("", "id", "patch id; use the same id to submit a patch again", false, "", "id",
                   flags.line);
    string_flag author("", "author", "author of the change", false, default_author(), "name", flags.line);
    string_flag message("", "message", "reason for the change", false, "", "text", flags.line);
    if (const auto exit_status = parse_flags(flags, "patch submit", arguments)) {
        return *exit_status;
    }
    std::ifstream in(file.getValue());
    if (!in) {
        return fail(exit_code::invalid,
                    {error_code::not_found, file.getValue(), "cannot be opened for reading"});
    }
    const json operations = json::parse(in, nullptr, false);
    if (!operations.is_array()) {
        return fail(exit_code::invalid,
                    {error_code::invalid, file.getValue(), "must be a JSON list of RFC 6902 operations"});
    }
    patch p;
    p.id = id.getValue().empty() ? make_patch_id() : id.getValue();
    p.author = author.getValue();
    p.message = message.getValue();
    p.base_version = base.getValue();
    p.operations = operations.dump();
    return submit(flags, p);
}

} // namespace pomeloloft
