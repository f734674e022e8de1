#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "pomeloloft/sync/grpc_links.hpp"

namespace pomeloloft {
namespace {

/// A unique Unix socket address. With TCP, hundreds of listeners per second would exhaust the free ports.
std::string next_address()
{
    static int last_number = 0;
    return "unix-abstract:pomeloloft-" + std::to_string(::getpid()) + "-" + std::to_string(++last_number);
}

sync_state state_of(const std::string& node)
{
    sync_state state;
    state.node = node;
    state.data_centre = "celje-1";
    return state;
}

/// A node with its own hub and listener.
struct test_node {
    explicit test_node(const std::string& node)
        : hub(state_of(node)), address(next_address()),
          links(std::move(grpc_links::listen(this->hub, this->address).value()))
    {}

    [[nodiscard]] bool is_linked()
    {
        for (const link_summary& link : this->hub.summaries()) {
            if (link.established) {
                return true;
            }
        }
        return false;
    }

    link_hub hub;
    std::string address;
    std::unique_ptr<grpc_links> links;
};

void open_test_link(test_node& from, test_node& to)
{
    from.links->dial(to.address, link_kind::peer, "");
    const time_point deadline = steady_clock::now() + milliseconds{5000};
    while (!(from.is_linked() && to.is_linked()) && steady_clock::now() < deadline) {
        from.hub.tick();
        to.hub.tick();
        std::this_thread::sleep_for(milliseconds{1});
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(grpc_streams)

BOOST_AUTO_TEST_CASE(links_open_and_stop_repeatedly)
{
    constexpr int rounds = 150;
    for (int round = 0; round < rounds; ++round) {
        test_node a("a");
        test_node b("b");
        open_test_link(a, b);
        BOOST_REQUIRE(a.is_linked());
        BOOST_REQUIRE(b.is_linked());
        // One end stops while the other still sends; which end stops first alternates.
        std::thread sender([&] {
            for (int i = 0; i < 20; ++i) {
                a.hub.tick();
                b.hub.tick();
            }
        });
        (round % 2 == 0 ? a : b).links->stop();
        sender.join();
        (round % 2 == 0 ? b : a).links->stop();
        BOOST_TEST(a.hub.summaries().empty());
        BOOST_TEST(b.hub.summaries().empty());
    }
}

BOOST_AUTO_TEST_CASE(links_cancelled_by_both_sides_at_once_are_removed)
{
    test_node a("a");
    test_node b("b");
    constexpr int rounds = 150;
    const auto any = [](const link_summary&) { return true; };
    for (int round = 0; round < rounds; ++round) {
        open_test_link(a, b);
        std::vector<std::thread> cancellers;
        for (test_node* side : {&a, &b}) {
            cancellers.emplace_back([&any, side] { side->hub.cancel_if(any); });
        }
        for (std::thread& t : cancellers) {
            t.join();
        }
        const time_point deadline = steady_clock::now() + milliseconds{5000};
        while (!(a.hub.summaries().empty() && b.hub.summaries().empty()) && steady_clock::now() < deadline) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        BOOST_REQUIRE(a.hub.summaries().empty());
        BOOST_REQUIRE(b.hub.summaries().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
