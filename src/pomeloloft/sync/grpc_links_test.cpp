#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "pomeloloft/sync/grpc_links.hpp"

namespace pomeloloft {
namespace {

/// A local address without a port: hundreds of listeners in a second would use up the free ones.
std::string next_address()
{
    static int next = 0;
    return "unix-abstract:pomeloloft-" + std::to_string(::getpid()) + "-" + std::to_string(++next);
}

sync_state state_of(const std::string& node)
{
    sync_state state;
    state.node = node;
    state.data_centre = "celje-1";
    return state;
}

/// One end of a link.
struct end_point {
    explicit end_point(const std::string& node)
        : hub(state_of(node)), address(next_address()),
          links(std::move(grpc_links::listen(this->hub, this->address).value()))
    {}

    [[nodiscard]] bool is_linked()
    {
        for (const link_summary& l : this->hub.summaries()) {
            if (l.established) {
                return true;
            }
        }
        return false;
    }

    link_hub hub;
    std::string address;
    std::unique_ptr<grpc_links> links;
};

void link(end_point& from, end_point& to)
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

BOOST_AUTO_TEST_CASE(links_open_and_stop_many_times)
{
    constexpr int rounds = 150;
    for (int round = 0; round < rounds; ++round) {
        end_point a("a");
        end_point b("b");
        link(a, b);
        BOOST_REQUIRE(a.is_linked());
        BOOST_REQUIRE(b.is_linked());
        // Either end goes first, while the other still sends.
        std::thread busy([&] {
            for (int i = 0; i < 20; ++i) {
                a.hub.tick();
                b.hub.tick();
            }
        });
        (round % 2 == 0 ? a : b).links->stop();
        busy.join();
        (round % 2 == 0 ? b : a).links->stop();
        BOOST_TEST(a.hub.summaries().empty());
        BOOST_TEST(b.hub.summaries().empty());
    }
}

BOOST_AUTO_TEST_CASE(links_ended_by_both_sides_at_once_leave_nothing_behind)
{
    end_point a("a");
    end_point b("b");
    constexpr int rounds = 150;
    const auto any = [](const link_summary&) { return true; };
    for (int round = 0; round < rounds; ++round) {
        link(a, b);
        std::vector<std::thread> enders;
        for (end_point* side : {&a, &b}) {
            enders.emplace_back([&any, side] { side->hub.cancel_if(any); });
        }
        for (std::thread& t : enders) {
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
