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
        record_batch run{offset, {{offset, add_service(static_cast<int>(offset), version)}}, std::nullopt};
        BOOST_REQUIRE(fold_batch(state.config, run).has_value());
    }
}

/// A parent and a child, joined by frames that are handed over here; some may be lost.
struct pair_of_nodes {
    pair_of_nodes()
    {
        this->parent.node = "parent";
        this->child.node = "child";
        this->down.id = 1;
        this->down.inbound = true;
        this->up.id = 1;
    }

    /// Hands frames over until neither side has one.
    /// @return why a side closed the link; empty when none did.
    std::string exchange(double loss = 0, std::uint64_t seed = 0)
    {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        constexpr int most_frames = 10'000;
        for (int i = 0; i < most_frames; ++i) {
            auto downwards = next_frame(this->parent, this->down, this->now);
            auto upwards = next_frame(this->child, this->up, this->now);
            if (!downwards && !upwards) {
                return {};
            }
            for (const bool to_child : {true, false}) {
                const auto& frame = to_child ? downwards : upwards;
                if (!frame || (!frame->has_hello() && draw(random) < loss)) {
                    continue;
                }
                const frame_effects effects = to_child
                                                  ? take_frame(this->child, this->up, *frame, this->now)
                                                  : take_frame(this->parent, this->down, *frame, this->now);
                if (effects.close) {
                    return effects.reason;
                }
            }
        }
        return "endless";
    }

    void beat()
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

BOOST_DATA_TEST_CASE(a_child_gets_what_it_lacks, boost::unit_test::data::make({0, 1, 5, 300}), held)
{
    pair_of_nodes p;
    append(p.parent, 300);
    if (held > 0) {
        append(p.child, held);
    }
    BOOST_TEST(p.exchange() == "");
    BOOST_TEST(p.child.config.fold->chain == p.parent.config.fold->chain);
    append(p.parent, 3);
    BOOST_TEST(p.exchange() == "");
    BOOST_TEST(p.child.config.fold->current->version == p.parent.config.fold->current->version);
}

BOOST_AUTO_TEST_CASE(a_parent_without_the_records_sends_a_snapshot)
{
    pair_of_nodes p;
    append(p.parent, 50);
    p.parent.config.recent.clear();
    BOOST_TEST(p.exchange() == "");
    BOOST_TEST(p.child.config.fold->chain == p.parent.config.fold->chain);
    BOOST_TEST(p.parent.full_syncs == 0U);
}

BOOST_AUTO_TEST_CASE(a_parent_that_is_behind_takes_nothing_back)
{
    pair_of_nodes p;
    append(p.parent, 5);
    append(p.child, 9);
    BOOST_TEST(p.exchange() == "");
    BOOST_TEST(p.child.config.fold->current->version == 9U);
    p.beat();
    p.beat();
    BOOST_TEST(p.parent.config.fold->current->version == 9U);
}

BOOST_DATA_TEST_CASE(lost_frames_are_healed_by_heartbeats, boost::unit_test::data::xrange(1, 30), seed)
{
    pair_of_nodes p;
    append(p.parent, 5);
    (void)p.exchange();
    append(p.parent, 40);
    for (int i = 0; i < 5; ++i) {
        member m;
        m.node = "n" + std::to_string(i);
        m.sequence = 1;
        merge(p.parent.members, m, 0, p.now);
    }
    BOOST_TEST(p.exchange(0.7, static_cast<std::uint64_t>(seed)) == "");
    for (int i = 0; i < 8; ++i) {
        p.beat();
    }
    BOOST_TEST(p.child.config.fold->chain == p.parent.config.fold->chain);
    BOOST_TEST(combined_digest(p.child.members) == combined_digest(p.parent.members));
}

BOOST_AUTO_TEST_CASE(a_run_whose_chain_differs_changes_nothing)
{
    pair_of_nodes p;
    append(p.parent, 3);
    (void)p.exchange();
    wire::Frame frame;
    frame.mutable_records()->set_from(3);
    frame.mutable_records()->set_chain(42);
    wire::LogRecord& record = *frame.mutable_records()->add_records();
    record.set_offset(3);
    record.set_data(add_service(3, 3));
    BOOST_TEST(take_frame(p.child, p.up, frame, p.now).close);
    BOOST_TEST(p.child.config.fold->current->version == 3U);
}

BOOST_AUTO_TEST_CASE(an_older_state_is_never_adopted)
{
    sync_state older;
    append(older, 3);
    const fold_state older_state = *older.config.fold;
    sync_state newer;
    append(newer, 5);
    BOOST_TEST(!install_newer_state(newer.config, older_state));
    BOOST_TEST(!install_newer_state(newer.config, *newer.config.fold));
    fold_state further_but_lower = older_state;
    further_but_lower.next_offset = 100;
    BOOST_TEST(!install_newer_state(newer.config, further_but_lower));
    BOOST_TEST(newer.config.fold->current->version == 5U);
    BOOST_TEST(install_newer_state(older.config, *newer.config.fold));
}

BOOST_AUTO_TEST_CASE(a_snapshot_cut_short_or_damaged_changes_nothing)
{
    pair_of_nodes p;
    append(p.parent, 3);
    BOOST_TEST(p.exchange() == "");
    const std::string text = *shared_snapshot(p.parent.config);
    sync_state fresh;
    fresh.node = "fresh";
    for (const bool damaged : {false, true}) {
        link_state l = p.up;
        wire::Frame frame;
        frame.mutable_snapshot()->set_index(0);
        frame.mutable_snapshot()->set_count(damaged ? 1 : 2);
        frame.mutable_snapshot()->set_data(damaged ? text.substr(1) : text);
        BOOST_TEST(take_frame(fresh, l, frame, p.now).close == damaged);
        BOOST_TEST(fresh.config.fold->current->version == 0U);
    }
}

BOOST_AUTO_TEST_CASE(full_synchronisations_are_admitted_a_few_at_a_time)
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
        (void)take_frame(parent, links[i], *hello, now);
        (void)next_frame(parent, links[i], now);
        const auto next = next_frame(parent, links[i], now);
        sending += next && next->has_snapshot() && links[i].full_sync ? 1 : 0;
        BOOST_TEST(parent.full_syncs <= parent.options.max_full_syncs);
    }
    BOOST_TEST(sending <= parent.options.max_full_syncs);
}

BOOST_DATA_TEST_CASE(random_bytes_never_break_a_link_beyond_closing_it,
                     boost::unit_test::data::xrange(1, 200), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    pair_of_nodes p;
    append(p.parent, 3);
    (void)p.exchange();
    for (int i = 0; i < 50; ++i) {
        auto source = next_frame(p.parent, p.down, p.now += p.parent.options.heartbeat_interval);
        std::string bytes = source ? source->SerializeAsString() : std::string();
        for (int flips = 0; flips < 4 && !bytes.empty(); ++flips) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        wire::Frame frame;
        if (frame.ParseFromString(bytes) && take_frame(p.child, p.up, frame, p.now).close) {
            break;
        }
        BOOST_TEST(p.child.config.fold->current->version >= 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
