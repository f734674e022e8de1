#include <fstream>
#include <iostream>

#include "pomeloloft/cli/command_list.hpp"
#include "pomeloloft/cli/operator_client.hpp"
#include "pomeloloft/traffic/decision_trace.hpp"

namespace pomeloloft {
namespace {

/// How many decisions of a trace come out as they were recorded.
struct replay_count {
    std::size_t same = 0;
    std::size_t differing = 0;
};

/// Decides one line again and prints it where the outcome differs.
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

int run_decisions(const arguments_list& arguments)
{
    common_flags flags("Prints the newest decisions that a proxy has recorded, one line of JSON each.");
    if (const auto done = parse_flags(flags, "decisions", arguments)) {
        return *done;
    }
    const auto answer = call_operator(flags.proxy.getValue(), "GET", "/v1/decisions");
    if (!answer) {
        return fail(exit_of(answer.error()), answer.error());
    }
    constexpr int ok = 200;
    if (answer.value().status != ok) {
        return fail(exit_code::failed, {error_code::refused, flags.proxy.getValue(), answer.value().body});
    }
    std::cout << answer.value().body;
    return to_int(exit_code::ok);
}

int run_replay(const arguments_list& arguments)
{
    common_flags flags("Takes recorded decisions again and prints those that come out differently.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "decisions, one line of JSON each", true, "", "file",
                                               flags.line);
    if (const auto done = parse_flags(flags, "replay", arguments)) {
        return *done;
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
