#pragma once

namespace pomeloloft {

/// Whether a response shows that its request does not crash targets: only a success does, as a target can
/// answer with an error without having run the request.
/// @param status HTTP status of a complete response.
[[nodiscard]] bool shows_survival(int status);

} // namespace pomeloloft
