#include "soak/share_checks.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

namespace {

constexpr std::array weights{4.0, 2.0, 1.0};
constexpr std::int64_t seconds = 3;

/// What each account asks for in each second, in jobs of one task.
struct account_load {
    std::size_t accepted = 0;
    std::size_t refused = 0;
    bool may_be_limited = false;
};

std::vector<judged_submit> submits_of(const std::vector<account_load>& loads, std::int64_t from,
                                      std::int64_t until, std::int64_t owner = 1) {
    std::vector<judged_submit> result;
    for (std::int64_t second = from; second < until; ++second) {
        for (std::size_t account = 0; account < loads.size(); ++account) {
            const account_load& load = loads[account];
            const timestamp at = std::chrono::seconds(second) + 100ms;
            result.insert(result.end(), load.accepted, {account, owner, at, 1, true, false});
            result.insert(result.end(), load.refused, {account, owner, at, 1, false, load.may_be_limited});
        }
    }
    return result;
}

std::vector<judged_submit> operator+(std::vector<judged_submit> first,
                                     const std::vector<judged_submit>& second) {
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

// Guards against an account that pays for another one's load.
TEST_CASE("an account refused within its share for seconds is reported, while others exceed theirs") {
    // 14 tasks a second are accepted: the shares are 8, 4 and 2.
    const std::vector<account_load> displaced{{11, 20}, {2, 1}, {1, 0}};
    const std::vector<account_load> fair{{8, 23}, {3, 0}, {3, 5}};
    struct share_case {
        const char* description;
        std::vector<judged_submit> submits;
        std::size_t problems;
    };
    const std::vector<share_case> cases{
        {"for three seconds", submits_of(displaced, 1, 4), 1},
        {"for two seconds", submits_of(displaced, 1, 3), 0},
        {"for two seconds, twice",
         submits_of(displaced, 1, 3) + submits_of(fair, 3, 4) + submits_of(displaced, 4, 6), 0},
        {"for two seconds by each of two owners",
         submits_of(displaced, 1, 3, 1) + submits_of(displaced, 3, 5, 2), 0},
        {"for two seconds before and after one without a submit",
         submits_of(displaced, 1, 3) + submits_of(displaced, 4, 6), 0},
        {"only those over their share are refused", submits_of(fair, 1, 9), 0},
        {"it asks for its whole share and more", submits_of({{10, 20}, {3, 1}, {1, 0}}, 1, 9), 0},
        {"the account's limit may be the reason", submits_of({{11, 20}, {2, 1, true}, {1, 0}}, 1, 9), 0},
        {"nobody gets more than its share", submits_of({{8, 20}, {3, 0}, {2, 0}}, 1, 9), 0},
        {"nothing is accepted", submits_of({{0, 20}, {0, 3}, {0, 1}}, 1, 9), 0},
        {"nobody is refused", submits_of({{11, 0}, {2, 0}, {1, 0}}, 1, 9), 0},
    };
    for (const share_case& item : cases) {
        INFO(item.description);
        CHECK(check_shares(item.submits, weights, seconds).size() == item.problems);
    }
}
