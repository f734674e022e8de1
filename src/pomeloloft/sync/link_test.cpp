#include "pomeloloft/sync/link.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

#include "distribution.pb.h"
#include "pomeloloft/config/patch.hpp"

namespace {

using namespace pomeloloft;

std::string add_service(int number, std::uint64_t base)
{
    patch p;
    p.id = "p" + std::to_string(number);
    p.author = "test";
    p.base_version = base;
    p.operations = base == 0
                       ? R"([{"op":"add","path":"/services","value":{}}])"
                       : R"([{"op":"add","path":"/services/s)" + std::to_string(number) + R"(","value":{}}])";
    return encode_patch(p);
}

void append(sync_state& state, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::uint64_t offset = state.config.fold->next_offset;
        const std::uint64_t version = state.config.fold->current->version;
        record_batch batch{offset, {{offset, add_service(static_cast<int>(offset), version)}}, std::nullopt};
        BOOST_REQUIRE(fold_batch(state.config, batch).has_value());
    }
}

/// A parent and a child whose frames are delivered here; some of them may be dropped.
struct node_pair {
    node_pair()
    {
        this->parent.node = "parent";
        this->child.node = "child";
        this->down.id = 1;
        this->down.inbound = true;
        this->up.id = 1;
    }

    /// Delivers frames until neither side has one to send.
    /// @param loss probability that a frame other than hello is dropped.
    /// @return why a side closed the link; empty when none did.
    std::string exchange(double loss = 0, std::uint64_t seed = 0)
    {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        constexpr int max_frames = 10'000;
        for (int i = 0; i < max_frames; ++i) {
            auto downwards = next_frame(this->parent, this->down, this->now);
            auto upwards = next_frame(this->child, this->up, this->now);
            if (!downwards && !upwards) {
                return {};
            }
            for (const bool to_child : {true, false}) {
                const auto& frame = to_child ? downwards : upwards;
                if (!frame || (!frame->has_hello() && uniform(random) < loss)) {
                    continue;
                }
                const frame_effects effects = to_child
                                                  ? handle_frame(this->child, this->up, *frame, this->now)
                                                  : handle_frame(this->parent, this->down, *frame, this->now);
                if (effects.close) {
                    return effects.reason;
                }
            }
        }
        return "too many frames";
    }

    void exchange_after_heartbeat_interval()
    {
        this->now += this->parent.options.heartbeat_interval;
        (void)this->exchange();
    }

    sync_state parent;
    sync_state child;
    link_state down;
    link_state up;
    time_point now = steady_clock::now();
};

} // namespace

BOOST_AUTO_TEST_SUITE(links)

BOOST_DATA_TEST_CASE(a_child_receives_missing_records, boost::unit_test::data::make({0, 1, 5, 300}),
                     child_records)
{
    node_pair pair;
    append(pair.parent, 300);
    if (child_records > 0) {
        append(pair.child, child_records);
    }
    BOOST_TEST(pair.exchange() == "");
    BOOST_TEST(pair.child.config.fold->chain == pair.parent.config.fold->chain);
    append(pair.parent, 3);
    BOOST_TEST(pair.exchange() == "");
    BOOST_TEST(pair.child.config.fold->current->version == pair.parent.config.fold->current->version);
}

BOOST_AUTO_TEST_CASE(a_parent_without_the_records_sends_a_snapshot)
{
    node_pair pair;
    append(pair.parent, 50);
    pair.parent.config.recent.clear();
    BOOST_TEST(pair.exchange() == "");
    BOOST_TEST(pair.child.config.fold->chain == pair.parent.config.fold->chain);
    BOOST_TEST(pair.parent.active_full_syncs == 0U);
}

BOOST_AUTO_TEST_CASE(a_parent_with_an_older_offset_catches_up_from_its_child)
{
    node_pair pair;
    append(pair.parent, 5);
    append(pair.child, 9);
    BOOST_TEST(pair.exchange() == "");
    BOOST_TEST(pair.child.config.fold->current->version == 9U);
    pair.exchange_after_heartbeat_interval();
    pair.exchange_after_heartbeat_interval();
    BOOST_TEST(pair.parent.config.fold->current->version == 9U);
}

BOOST_DATA_TEST_CASE(heartbeats_recover_lost_frames, boost::unit_test::data::xrange(1, 30), seed)
{
    node_pair pair;
    append(pair.parent, 5);
    (void)pair.exchange();
    append(pair.parent, 40);
    for (int i = 0; i < 5; ++i) {
        member m;
        m.node = "n" + std::to_string(i);
        m.sequence = 1;
        merge(pair.parent.members, m, 0, pair.now);
    }
    BOOST_TEST(pair.exchange(0.7, static_cast<std::uint64_t>(seed)) == "");
    for (int i = 0; i < 8; ++i) {
        pair.exchange_after_heartbeat_interval();
    }
    BOOST_TEST(pair.child.config.fold->chain == pair.parent.config.fold->chain);
    BOOST_TEST(combined_digest(pair.child.members) == combined_digest(pair.parent.members));
}

BOOST_AUTO_TEST_CASE(a_batch_with_a_different_hash_chain_is_rejected)
{
    node_pair pair;
    append(pair.parent, 3);
    (void)pair.exchange();
    wire::Frame frame;
    frame.mutable_records()->set_from(3);
    frame.mutable_records()->set_chain(42);
    wire::LogRecord& record = *frame.mutable_records()->add_records();
    record.set_offset(3);
    record.set_data(add_service(3, 3));
    BOOST_TEST(handle_frame(pair.child, pair.up, frame, pair.now).close);
    BOOST_TEST(pair.child.config.fold->current->version == 3U);
}

BOOST_AUTO_TEST_CASE(an_older_state_is_never_installed)
{
    sync_state older;
    append(older, 3);
    const fold_state older_state = *older.config.fold;
    sync_state newer;
    append(newer, 5);
    BOOST_TEST(!install_newer_state(newer.config, older_state));
    BOOST_TEST(!install_newer_state(newer.config, *newer.config.fold));
    fold_state higher_offset_lower_version = older_state;
    higher_offset_lower_version.next_offset = 100;
    BOOST_TEST(!install_newer_state(newer.config, higher_offset_lower_version));
    BOOST_TEST(newer.config.fold->current->version == 5U);
    BOOST_TEST(install_newer_state(older.config, *newer.config.fold));
}

BOOST_AUTO_TEST_CASE(an_incomplete_or_corrupt_snapshot_changes_nothing)
{
    node_pair pair;
    append(pair.parent, 3);
    BOOST_TEST(pair.exchange() == "");
    const std::string text = *shared_snapshot(pair.parent.config);
    sync_state fresh;
    fresh.node = "fresh";
    for (const bool damaged : {false, true}) {
        link_state link = pair.up;
        wire::Frame frame;
        frame.mutable_snapshot()->set_index(0);
        frame.mutable_snapshot()->set_count(damaged ? 1 : 2);
        frame.mutable_snapshot()->set_data(damaged ? text.substr(1) : text);
        BOOST_TEST(handle_frame(fresh, link, frame, pair.now).close == damaged);
        BOOST_TEST(fresh.config.fold->current->version == 0U);
    }
}

BOOST_AUTO_TEST_CASE(concurrent_full_synchronisations_are_limited)
{
    sync_state parent;
    parent.node = "parent";
    append(parent, 2000);
    parent.config.recent.clear();
    const time_point now = steady_clock::now();
    std::vector<link_state> links(20);
    std::size_t sending = 0;
    for (std::size_t i = 0; i < links.size(); ++i) {
        sync_state child;
        child.node = "c" + std::to_string(i);
        links[i].id = i + 1;
        links[i].inbound = true;
        link_state up;
        const auto hello = next_frame(child, up, now);
        BOOST_REQUIRE(hello.has_value());
        (void)handle_frame(parent, links[i], *hello, now);
        (void)next_frame(parent, links[i], now);
        const auto next = next_frame(parent, links[i], now);
        sending += next && next->has_snapshot() && links[i].in_full_sync ? 1 : 0;
        BOOST_TEST(parent.active_full_syncs <= parent.options.max_full_syncs);
    }
    BOOST_TEST(sending <= parent.options.max_full_syncs);
}

BOOST_DATA_TEST_CASE(corrupt_frames_at_most_close_the_link, boost::unit_test::data::xrange(1, 200), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    node_pair pair;
    append(pair.parent, 3);
    (void)pair.exchange();
    for (int i = 0; i < 50; ++i) {
        auto source = next_frame(pair.parent, pair.down, pair.now += pair.parent.options.heartbeat_interval);
        std::string bytes = source ? source->SerializeAsString() : std::string();
        for (int flips = 0; flips < 4 && !bytes.empty(); ++flips) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        wire::Frame frame;
        if (frame.ParseFromString(bytes) && handle_frame(pair.child, pair.up, frame, pair.now).close) {
            break;
        }
        BOOST_TEST(pair.child.config.fold->current->version >= 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
