#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace siskinpaddle;

TEST_CASE("the catalogue page has every event, with its level, and no other") {
    std::ifstream file(EVENTS_PAGE);
    REQUIRE(file);
    std::set<std::string> lines;
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("| 1")) {
            std::istringstream words(line);
            std::string bar;
            std::string number;
            std::string name;
            std::string level;
            words >> bar >> number >> bar >> name >> bar >> level;
            number += " ";
            number += name;
            number += " ";
            number += level;
            lines.insert(number);
        }
    }
    std::set<std::string> expected;
    std::set<int> numbers;
    for (const event_entry& entry : event_catalogue) {
        CHECK(numbers.insert(static_cast<int>(entry.id)).second);
        expected.insert(std::to_string(static_cast<int>(entry.id)) + " " + std::string(entry.name) + " " +
                        std::string(name_of(entry.level)));
    }
    CHECK(lines == expected);
}

TEST_CASE("quantiles name the bucket in which they lie") {
    metrics m;
    CHECK(m.quantile("x", 0.5) == 0);
    for (int i = 1; i <= 1000; ++i) {
        m.observe("x", i);
    }
    CHECK(m.quantile("x", 0.5) >= 500);
    CHECK(m.quantile("x", 0.5) <= 650);
    CHECK(m.quantile("x", 0.99) >= 990);
    CHECK(m.quantile("x", 0.99) <= 1300);
    m.count("requests", 3);
    CHECK(m.to_text().find("siskinpaddle_requests 3\n") != std::string::npos);
    CHECK(m.to_text().find("siskinpaddle_x_ms_count 1000\n") != std::string::npos);
}
