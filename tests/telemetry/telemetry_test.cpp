#include "telemetry/line_writer.hpp"
#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace siskinpaddle;

TEST_CASE("the documented events and their levels match the catalogue") {
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
    for (const event_definition& definition : event_catalogue) {
        CHECK(numbers.insert(static_cast<int>(definition.id)).second);
        expected.insert(std::to_string(static_cast<int>(definition.id)) + " " + std::string(definition.name) +
                        " " + std::string(name_of(definition.level)));
    }
    CHECK(lines == expected);
}

TEST_CASE("a quantile is the upper edge of its bucket") {
    metrics m;
    CHECK(m.quantile("x", 0.5) == 0);
    for (int i = 1; i <= 1000; ++i) {
        m.observe("x", i);
    }
    CHECK(m.quantile("x", 0.5) >= 500);
    CHECK(m.quantile("x", 0.5) <= 650);
    CHECK(m.quantile("x", 0.99) >= 990);
    CHECK(m.quantile("x", 0.99) <= 1300);
    m.increment("requests", 3);
    CHECK(m.to_text().find("siskinpaddle_requests 3\n") != std::string::npos);
    CHECK(m.to_text().find("siskinpaddle_x_ms_count 1000\n") != std::string::npos);
}

TEST_CASE("a log reader that stops reading doesn't block the process") {
    // Guards against the loss of a pool's owner when its log reader stalls: the pipe fills, the next log line
    // blocks the process until its lease has expired, and all jobs of the pool stop.
    int pipe_ends[2] = {-1, -1};
    REQUIRE(pipe(pipe_ends) == 0);
    line_writer writer(pipe_ends[1]);
    const std::string line(200, 'x');
    const std::size_t lines = 3 * line_writer::max_buffered_bytes / line.size();
    for (std::size_t i = 0; i < lines; ++i) {
        writer.write(line);
    }
    CHECK_FALSE(writer.flush());
    const std::uint64_t dropped = writer.reset_dropped_count();
    CHECK(dropped > 0);
    CHECK(dropped < lines);

    std::size_t received = 0;
    std::string buffer(64U << 10U, ' ');
    for (int i = 0; i < 100; ++i) {
        const bool is_flushed = writer.flush();
        received += static_cast<std::size_t>(read(pipe_ends[0], buffer.data(), buffer.size()));
        if (is_flushed && received == (lines - dropped) * (line.size() + 1)) {
            break;
        }
    }
    CHECK(received == (lines - dropped) * (line.size() + 1));
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}
