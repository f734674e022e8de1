#include <fstream>
#include <iostream>

#include "pomeloloft/cli/command_list.hpp"
#include "pomeloloft/cli/operator_client.hpp"
#include "pomeloloft/traffic/decision_trace.hpp"

namespace pomeloloft {
namespace {

/// Number of replayed decisions with the same outcome as recorded, and with a different one.
struct replay_count {
    std::size_t same = 0;
    std::size_t differing = 0;
};

/// Replays the decision on one line of a trace and prints it if the outcome differs from the recorded one.
result<void> replay_line(const std::string& line, const std::string& where, replay_count& count)
{
    const auto recorded = parse_decision(line);
    if (!recorded) {
        return error{error_code::invalid, where, to_string(recorded.error())};
    }
    const std::string before = outcome_of(recorded.value());
    const std::string now = outcome_of(replay_decision(recorded.value()));
    if (before == now) {
        ++count.same;
        return success();
    }
    ++count.differing;
    std::cout << where << ": " << before << " when recorded, " << now << " now\n";
    return success();
}

} // namespace

int run_decisions(const argument_list& arguments)
{
    common_flags flags("Prints the newest decisions recorded by a proxy, one JSON object per line.");
    if (const auto exit_status = parse_flags(flags, "decisions", arguments)) {
        return *exit_status;
    }
    const auto response = call_operator(flags.proxy.getValue(), "GET", "/v1/decisions");
    if (!response) {
        return fail(exit_code_for(response.error()), response.error());
    }
    constexpr int ok = 200;
    if (response.value().status != ok) {
        return fail(exit_code::failed, {error_code::refused, flags.proxy.getValue(), response.value().body});
    }
    std::cout << response.value().body;
    return to_int(exit_code::ok);
}

int run_replay(const argument_list& arguments)
{
    common_flags flags("Replays recorded decisions and prints those whose outcome differs.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "recorded decisions, one JSON object per line", true,
                                               "", "file", flags.line);
    if (const auto exit_status = parse_flags(flags, "replay", arguments)) {
        return *exit_status;
    }
    std::ifstream in(file.getValue());
    if (!in) {
        return fail(exit_code::invalid,
                    {error_code::not_found, file.getValue(), "cannot be opened for reading"});
    }
    replay_count count;
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        const std::string where = file.getValue() + ":" + std::to_string(++number);
        const auto replayed = replay_line(line, where, count);
        if (!replayed) {
            return fail(exit_code::invalid, replayed.error());
        }
    }
    std::cout << count.same << " as recorded, " << count.differing << " differ\n";
    return to_int(count.differing == 0 ? exit_code::ok : exit_code::failed);
}

} // namespace pomeloloft
