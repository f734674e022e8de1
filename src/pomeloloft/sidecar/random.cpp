#include "pomeloloft/sidecar/random.hpp"

#include <random>

namespace pomeloloft::sidecar {

std::uint64_t random_draw()
{
    static thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

} // namespace pomeloloft::sidecar
