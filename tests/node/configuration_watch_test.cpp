#include "node/configuration_task.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::node;

// Guards against calls to the platform that grow with the nodes beyond what the bound on a configuration
// needs.
TEST_CASE("a node watches the operator's entries as rarely as its bounds allow") {
    // The answer of a store that is sixty times slower, the timeout of a watch beyond its wait, and the
    // shortest wait.
    constexpr milliseconds slow_answer = 240ms;
    constexpr milliseconds watch_timeout_margin = 600ms;
    constexpr milliseconds shortest = 1s;
    struct wait_case {
        const char* what = "";
        milliseconds configuration_time;
        milliseconds key_revocation_time;
        int calls_a_minute = 0;
    };
    for (const wait_case& item :
         {wait_case{"the shortest bound", 2s, 0ms, 60}, wait_case{"three seconds", 3s, 0ms, 60},
          wait_case{"a large fleet", 5s, 0ms, 30}, wait_case{"with client accounts", 4s, 6s, 60},
          wait_case{"keys revoked within three seconds", 4s, 3s, 92}}) {
        INFO(std::string(item.what));
        node_settings settings;
        settings.configuration_time = item.configuration_time;
        settings.key_revocation_time = item.key_revocation_time;
        settings.strict_key_revocation = item.key_revocation_time > 0ms;
        const configuration_ages ages = configuration_ages_of(settings);
        const milliseconds wait = configuration_watch_wait(ages);
        CHECK(1min / wait == item.calls_a_minute);
        CHECK((wait <= shortest || 2 * (wait + slow_answer) <= ages.max_refusal_age));
        CHECK(wait + watch_timeout_margin + slow_answer <= item.configuration_time);
    }
}
