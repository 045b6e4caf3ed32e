#include "node/lease_timing.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::node;

TEST_CASE("a node's lease goes by its link, and outlasts a lost renewal") {
    // Margin that an owner subtracts from its lease, and the answer of a store that is sixty times slower.
    constexpr milliseconds safety_margin = 200ms;
    constexpr milliseconds slow_answer = 240ms;
    struct link_case {
        double mbps;
        milliseconds ttl;
    };
    for (const link_case& item : {link_case{2, 2000ms}, link_case{10, 2000ms}, link_case{20, 2000ms},
                                  link_case{100, 1300ms}, link_case{200, 1300ms}, link_case{1000, 1300ms}}) {
        INFO(item.mbps, " Mbit/s");
        const lease_timing timing = lease_timing_for(item.mbps);
        CHECK(timing.ttl == item.ttl);
        CHECK(timing.renew_interval + timing.renew_timeout + timing.retry_interval + slow_answer <=
              timing.ttl - safety_margin);
    }
}
