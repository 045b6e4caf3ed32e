#include "soak/configuration_checks.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

TEST_CASE("a version that comes into force too late is reported") {
    const publication_times published{{2, timestamp(0)}, {4, timestamp(10'000)}, {6, timestamp(20'000)}};
    constexpr milliseconds configuration_time = 3s;
    struct report_case {
        std::string description;
        configuration_report report;
        bool is_late = false;
    };
    const std::vector<report_case> cases{
        {"added queue missing within the time",
         {.queried_version = 4, .is_missing = true, .sent = timestamp(12'999), .answered = timestamp(13'100)},
         false},
        {"added queue missing after the time, node not in touch",
         {.queried_version = 4, .is_missing = true, .sent = timestamp(13'000), .answered = timestamp(13'100)},
         true},
        {"replaced before the answer",
         {.queried_version = 4, .is_missing = true, .sent = timestamp(19'900), .answered = timestamp(20'000)},
         false},
        {"dropped queue present within the time",
         {.queried_version = 2,
          .is_present = true,
          .sent = timestamp(12'999),
          .answered = timestamp(13'100),
          .was_in_touch = true},
         false},
        {"dropped queue present after the time",
         {.queried_version = 2,
          .is_present = true,
          .sent = timestamp(13'000),
          .answered = timestamp(13'100),
          .was_in_touch = true},
         true},
        {"dropped queue present, node not in touch",
         {.queried_version = 2, .is_present = true, .sent = timestamp(13'000), .answered = timestamp(13'100)},
         false},
        {"newest queue present",
         {.queried_version = 6,
          .is_present = true,
          .sent = timestamp(23'000),
          .answered = timestamp(23'100),
          .was_in_touch = true},
         false},
        {"no conclusive answer",
         {.queried_version = 6,
          .sent = timestamp(23'000),
          .answered = timestamp(23'100),
          .was_in_touch = true},
         false},
        {"metrics within the time",
         {.reported_version = 4,
          .sent = timestamp(22'999),
          .answered = timestamp(23'100),
          .was_in_touch = true},
         false},
        {"metrics after the time",
         {.reported_version = 4,
          .sent = timestamp(23'000),
          .answered = timestamp(23'100),
          .was_in_touch = true},
         true},
        {"metrics after the time, node not in touch",
         {.reported_version = 4, .sent = timestamp(23'000), .answered = timestamp(23'100)},
         false}};
    for (const report_case& item : cases) {
        INFO(item.description);
        CHECK(check_time_to_effect(item.report, published, configuration_time).has_value() == item.is_late);
    }
}
