#pragma once

#include "pomeloloft/cli/flags.hpp"

namespace pomeloloft {

/// Each function runs one command with the arguments after its name.
/// @return the exit code of the process.
int run_proxy(const argument_list& arguments);
int run_sidecar(const argument_list& arguments);
int run_settings(const argument_list& arguments);
int run_check(const argument_list& arguments);
int run_diff(const argument_list& arguments);
int run_apply(const argument_list& arguments);
int run_patch_submit(const argument_list& arguments);
int run_config_show(const argument_list& arguments);
int run_status(const argument_list& arguments);
int run_routes(const argument_list& arguments);
int run_audit(const argument_list& arguments);
int run_decisions(const argument_list& arguments);
int run_replay(const argument_list& arguments);

} // namespace pomeloloft
