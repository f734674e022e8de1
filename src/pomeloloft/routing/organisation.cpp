#include "pomeloloft/routing/organisation.hpp"

#include <algorithm>
#include <cctype>

#include "pomeloloft/routing/route_table.hpp"

namespace pomeloloft::routing {
namespace {

/// Number of ranks of one organisation priority; lower route priorities share the last one.
constexpr std::uint32_t ranks_per_priority = 256;
/// Number of organisation priorities; lower ones share the last.
constexpr std::uint32_t max_organisation_priority = 1U << 16U;

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
}

} // namespace

std::string_view key_in(std::string_view authorization, std::string_view scheme)
{
    const auto space = authorization.find(' ');
    if (space == std::string_view::npos || !equal_ignoring_case(authorization.substr(0, space), scheme)) {
        return {};
    }
    const auto begin = authorization.find_first_not_of(' ', space);
    return begin == std::string_view::npos ? std::string_view{} : authorization.substr(begin);
}

caller_identity identify_caller(const route_table& table, const route& r, std::string_view key)
{
    if (!table.requires_keys) {
        return {true, nullptr};
    }
    const auto found = table.organisations_by_key.find(key);
    if (found == table.organisations_by_key.end()) {
        return {r.is_public, nullptr};
    }
    return {true, &table.organisations[found->second]};
}

std::uint32_t rank_of(const organisation* caller, const route& r)
{
    const std::uint32_t route_rank = std::min(r.priority, ranks_per_priority - 1);
    if (caller == nullptr) {
        return route_rank;
    }
    return (std::min(caller->priority, max_organisation_priority) + 1) * ranks_per_priority + route_rank;
}

} // namespace pomeloloft::routing
