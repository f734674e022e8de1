#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/shared_store.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// Decodes the operator's configuration document.
using config_decoder = std::function<result<std::shared_ptr<const routing::route_table>>(const std::string&)>;

/// Number of nodes that read the store for each data centre.
inline constexpr std::size_t readers_per_data_centre = 2;

/// The nodes that read the store for a data centre, best first, chosen from those that reach the store: nodes
/// of the data centre itself, unless only nodes elsewhere have links wide enough for whole documents.
[[nodiscard]] std::vector<std::string> config_readers(const member_table& members,
                                                      const std::string& data_centre);

/// The nodes to ask for an announced version, in this order. Readers come first, as they are close and have
/// wide links, and among them the announcing node, which has the version and is known to run.
[[nodiscard]] std::vector<std::string> fetch_order(std::vector<std::string> readers,
                                                   const std::string& announcing_node);

/// What a node sends to the nodes of a data centre.
enum class push_content : std::uint8_t {
    nothing,
    /// The version that it holds.
    version,
    /// The version, and what has changed since the one before.
    delta,
};

/// What decides about a push to a data centre.
struct push_facts {
    /// The node has just read a new version; otherwise it confirms the one it holds.
    bool has_delta = false;
    bool is_reader = false;
    /// The node is the first of the live readers.
    bool is_lead_reader = false;
};

/// One reader sends a delta. The others announce a new version at once too: the lead may not have it.
[[nodiscard]] push_content decide_push(const push_facts& facts);

/// Keeps the configuration up to date: a few nodes of each data centre read the store and send changes to the
/// others. A node that receives nothing from any reader reads the store itself. Belongs to one event loop.
class config_feed {
public:
    /// @param peers connections to the other sidecars.
    config_feed(net::event_loop& io_loop, sidecar_state& process_state, shared_store& platform_store,
                config_decoder decoder, net::client_pool& peers);

    /// Reads the store while this node is a reader, has no configuration yet or receives nothing from a
    /// reader.
    [[nodiscard]] net::task<void> follow_store();

    /// While this node is a reader, announces the newest version at intervals to the nodes it reads for.
    [[nodiscard]] net::task<void> announce_version();

    /// Handles requests of other sidecars on the configuration path.
    [[nodiscard]] net::reply handle(const net::request& received);

    /// Handles the version that another node reports with a request or a response; fetches it if it is newer.
    void handle_announced_version(const std::string& node, std::string_view version);

    /// Called after a new configuration has been adopted.
    std::function<void()> on_config_adopted;

    /// Called when the store becomes unreachable or reachable again.
    std::function<void()> on_store_reachability;

    /// Whether the last call to the store succeeded.
    [[nodiscard]] bool reaches_store() const { return this->store_reachable; }

private:
    [[nodiscard]] bool reads_for(const std::string& data_centre) const;
    /// Whether this node reads for any data centre.
    [[nodiscard]] bool is_reader() const;
    [[nodiscard]] bool has_live_reader() const;
    /// Whether no other node reads the store for this one.
    [[nodiscard]] bool must_read() const;
    /// Whether this node is the first live reader of a data centre.
    [[nodiscard]] bool is_lead_reader(const std::string& data_centre) const;
    /// Checks whether an unreachable store has recovered, while others read it for this node.
    net::task<void> check_store();
    /// Waits for the first version from peers, if there are any.
    net::task<void> await_config_from_peers();
    net::task<void> read_once();
    /// Runs beside a read. Returns when the store responds although the read's connection may be lost, so
    /// that the read is better begun anew.
    net::task<void> supervise_read(milliseconds max_wait);
    /// Calls the unreachable store at intervals until it responds or others read it for this node. A call
    /// that is not answered does not delay the next one: a call that began during an outage may stay
    /// unanswered after it.
    net::task<void> await_store_recovery();
    net::task<void> check_recovery();
    void set_store_reachable(bool reached, const std::string& reason);
    void adopt(std::shared_ptr<const routing::route_table> table);
    /// Sends a delta to the nodes that this node reads for. An empty delta only announces the version, as any
    /// delta does from a reader that is not the lead.
    void push(const std::string& delta);
    void push_to(const std::string& data_centre, const std::string& delta);
    /// A request on the configuration path that states the version this node holds.
    [[nodiscard]] net::request make_request(net::http::verb method) const;
    void record_message(const std::string& node, std::size_t body_bytes);
    net::task<void> send_delta(std::string node, net::tcp::endpoint address, std::string delta);
    net::task<void> catch_up(std::string node);
    net::task<bool> fetch_from(std::string node);
    result<void> apply_encoded_delta(std::string_view text);
    net::reply serve_delta(std::uint64_t from) const;

    net::event_loop& loop;
    sidecar_state& shared;
    shared_store& store;
    config_decoder decode;
    net::client_pool& pool;
    /// Earlier versions from which deltas are computed; oldest first.
    std::deque<std::shared_ptr<const routing::route_table>> history;
    /// Time of the last message from a reader, by node.
    std::unordered_map<std::string, time_point> reader_last_heard;
    /// Calls to the store that failed since the last success.
    std::uint32_t store_failures = 0;
    bool store_reachable = true;
    /// Whether the last read succeeded, so that the next one may wait for a change.
    bool may_wait_for_change = false;
    /// Reads without waiting that were abandoned since the last success.
    std::uint32_t abandoned_reads = 0;
    /// Whether the store has responded since `await_store_recovery` began.
    bool recovered = false;
    /// Pause between the calls of `await_store_recovery`, cancelled when the store has responded.
    net::timer recovery_pause;
    bool reading = false;
    bool catching_up = false;
};

} // namespace pomeloloft::sidecar
