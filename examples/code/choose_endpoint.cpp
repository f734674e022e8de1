// Chooses endpoints of a service with one busy target, and prints how often each was chosen.
#include <iostream>
#include <map>
#include <random>

#include "pomeloloft/traffic/choose.hpp"

int main()
{
    using namespace pomeloloft;
    service_view target;
    target.limits.slots = 10;
    for (const char* node : {"t1", "t2", "t3"}) {
        endpoint e;
        e.node = node;
        e.load = std::make_shared<endpoint_load>();
        target.local.push_back(e);
    }
    apply_report(*target.local[0].load, {8, 0}, steady_clock::now());

    constexpr int requests = 1000;
    std::mt19937_64 random(1);
    std::map<std::string, int> chosen_count;
    for (int i = 0; i < requests; ++i) {
        const endpoint_choice_inputs request{&target, {}, random(), steady_clock::now()};
        ++chosen_count[choose_endpoint(request, {})->node];
    }
    for (const auto& [node, count] : chosen_count) {
        std::cout << node << ": " << count << "\n";
    }
}
