#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft {

/// How far the receiver of member entries passes on those that change its table.
enum class spread_scope : std::uint8_t {
    none,
    /// To every node of its data centre.
    data_centre,
    /// To every node of its data centre and to a relay of every other one.
    fleet,
};

/// Names of `spread_scope` in messages.
inline constexpr name_table<spread_scope, 3> spread_scope_names{{
    {spread_scope::none, "none"},
    {spread_scope::data_centre, "data-centre"},
    {spread_scope::fleet, "fleet"},
}};

/// Parameters of the spread of member changes.
struct spread_options {
    /// Relays of its own data centre to which a node announces a change, so that the loss of one delays
    /// nothing.
    std::size_t relays_per_data_centre = 2;
    /// Candidates that are tried in turn until one responds, per data centre.
    std::size_t max_relay_candidates = 6;
    /// Time in which a relay collects changes before it passes them on together.
    milliseconds batch_window{30};
    /// Backoff after the first message without a response; it doubles with each further one, up to
    /// `max_backoff`.
    milliseconds initial_backoff{300};
    milliseconds max_backoff{4000};
};

/// Nodes that did not respond to the last messages. Not synchronised.
class unresponsive_nodes {
public:
    unresponsive_nodes() = default;
    explicit unresponsive_nodes(spread_options limits) : options(limits) {}

    /// Records that a message to a node got no response.
    void record_failure(const std::string& node, time_point now);

    /// Records that a node responded or sent a message.
    void record_contact(const std::string& node) { this->nodes.erase(node); }

    /// Whether a node is in backoff.
    [[nodiscard]] bool contains(const std::string& node, time_point now) const;

private:
    struct backoff {
        std::uint32_t failures = 0;
        time_point until;
    };

    spread_options options;
    std::unordered_map<std::string, backoff> nodes;
};

/// Returns the nodes of a data centre in the order in which they are asked to relay member changes. Nodes in
/// backoff, then nodes whose target is draining, then nodes with much narrower links than others come last.
/// The order does not depend on who computes it, except for backoff, so that changes meet at few nodes and
/// are passed on in batches.
[[nodiscard]] std::vector<std::string> relay_order(const member_table& members,
                                                   const std::string& data_centre,
                                                   const unresponsive_nodes& unresponsive, time_point now);

/// Returns the nodes to which `self` announces a change of its own entry, in the order in which they are
/// tried: relays of its own data centre, then of the others.
[[nodiscard]] std::vector<std::string> announcement_order(const member_table& members, const member& self,
                                                          const unresponsive_nodes& unresponsive,
                                                          time_point now, const spread_options& options);

/// Changes that a relay has received and not yet passed on.
struct pending_spread {
    /// Scope of each changed entry, by node.
    std::map<std::string, spread_scope> entries;
    /// Widest scope of new crash observations, which travel with the entries.
    spread_scope observations = spread_scope::none;

    [[nodiscard]] bool empty() const
    {
        return this->entries.empty() && this->observations == spread_scope::none;
    }
};

/// A batch of entries and where a relay sends it.
struct spread_batch {
    spread_scope scope = spread_scope::none;
    std::vector<member> entries;
    /// Nodes that all receive the batch. Empty if `candidates` is used.
    std::vector<std::string> receivers;
    /// Nodes that are tried in turn until one responds.
    std::vector<std::string> candidates;
};

/// Plans what a relay sends for the changes that it collected. The messages to other data centres do not
/// depend on the number of nodes there: one batch for each data centre.
[[nodiscard]] std::vector<spread_batch> plan_spread(const member_table& members, const member& self,
                                                    const pending_spread& pending,
                                                    const unresponsive_nodes& unresponsive, time_point now,
                                                    const spread_options& options);

/// One in this many digest exchanges of a node goes to another data centre. It grows with the number of nodes
/// of the node's own data centre, so that the exchanges between data centres do not grow with the fleet.
[[nodiscard]] std::uint64_t remote_exchange_period(std::size_t local_members);

} // namespace pomeloloft
