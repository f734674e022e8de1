#pragma once

#include "pomeloloft/cli/flags.hpp"

namespace pomeloloft {

/// Each runs one command with the words after its name.
/// @return the process's exit code.
int run_proxy(const arguments_list& arguments);
int run_sidecar(const arguments_list& arguments);
int run_settings(const arguments_list& arguments);
int run_check(const arguments_list& arguments);
int run_diff(const arguments_list& arguments);
int run_apply(const arguments_list& arguments);
int run_patch_submit(const arguments_list& arguments);
int run_config_show(const arguments_list& arguments);
int run_status(const arguments_list& arguments);
int run_routes(const arguments_list& arguments);
int run_audit(const arguments_list& arguments);
int run_decisions(const arguments_list& arguments);
int run_replay(const arguments_list& arguments);

} // namespace pomeloloft
