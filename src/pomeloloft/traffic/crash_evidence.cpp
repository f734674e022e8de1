#include "pomeloloft/traffic/crash_evidence.hpp"

namespace pomeloloft {

bool shows_survival(int status)
{
    constexpr int first_success = 200;
    constexpr int first_redirection = 300;
    return status >= first_success && status < first_redirection;
}

} // namespace pomeloloft
