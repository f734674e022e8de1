#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "distribution.pb.h"
#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft::detail {

/// A member as it is sent on a link.
[[nodiscard]] wire::Member to_wire(const member& m);

/// Returns the member that was sent; nothing if it has no name or an unknown state.
[[nodiscard]] std::optional<member> from_wire(const wire::Member& in);

/// Appends the digests of a table's buckets to a repeated field.
template <typename Repeated>
void fill_digest(Repeated& out, const member_table& table)
{
    for (const std::uint64_t bucket : table.digest) {
        out.Add(bucket);
    }
}

/// Returns the digests of a table's buckets; nothing if their number is wrong.
template <typename Repeated>
[[nodiscard]] std::optional<table_digest> read_digest(const Repeated& in)
{
    if (static_cast<std::size_t>(in.size()) != digest_buckets) {
        return std::nullopt;
    }
    table_digest out{};
    std::copy(in.begin(), in.end(), out.begin());
    return out;
}

} // namespace pomeloloft::detail
