#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

queue_settings queue_in(const std::string& name, const std::string& pool, std::uint32_t max_attempts) {
    queue_settings queue;
    queue.name = name;
    queue.host = "h.example";
    queue.prefix = "/" + name + "/";
    queue.pool = pool;
    queue.max_attempts = max_attempts;
    return queue;
}

/// Names and limits of the record's queues, for example "quotes:3".
std::string text_of(const pool_record& record) {
    std::string text;
    for (const queue_settings& queue : record.queues) {
        text += (text.empty() ? "" : " ") + queue.name + ":" + std::to_string(queue.max_attempts) +
                (queue.pool == "p" ? "" : "@" + queue.pool);
    }
    return text;
}

} // namespace

// Guards against jobs whose limits are those of an older version, or none, and against records that only
// grow.
TEST_CASE("a pool's record follows the newest settings of the queues that may have jobs there") {
    struct record_case {
        const char* name;
        std::vector<queue_settings> configured;
        std::set<std::string> in_use;
        std::string record;
        std::string settings; ///< Those of the pool's jobs.
    };
    const pool_record stored{{queue_in("quotes", "p", 3)}};
    const std::vector<record_case> cases{
        {"unchanged", {queue_in("quotes", "p", 3)}, {}, "quotes:3", "quotes:3"},
        {"another limit", {queue_in("quotes", "p", 5)}, {}, "quotes:5", "quotes:5"},
        {"leads elsewhere, with jobs", {queue_in("quotes", "q", 5)}, {"quotes"}, "quotes:5", "quotes:5"},
        {"leads elsewhere, without jobs", {queue_in("quotes", "q", 5)}, {}, "", "quotes:5"},
        {"gone, with jobs", {}, {"quotes"}, "quotes:3", "quotes:3"},
        {"gone, without jobs", {}, {}, "", "quotes:3"},
        {"a queue that leads here has jobs",
         {queue_in("fares", "p", 2), queue_in("quotes", "p", 3)},
         {"fares"},
         "quotes:3 fares:2",
         "fares:2 quotes:3"},
        {"a queue that leads here has none",
         {queue_in("fares", "p", 2), queue_in("quotes", "p", 3)},
         {},
         "quotes:3",
         "fares:2 quotes:3"},
        {"a queue that no version has named", {}, {"seats"}, "", "quotes:3"},
    };
    for (const record_case& item : cases) {
        INFO(std::string(item.name));
        fleet_configuration configuration;
        configuration.queues = item.configured;
        CHECK(text_of(revise_pool_record(stored, configuration, "p", item.in_use)) == item.record);
        CHECK(text_of({queues_of_pool(stored, configuration, "p")}) == item.settings);
    }
}

// Guards against settings that a new owner reads otherwise than they were written.
TEST_CASE("a pool's record is read as it was written") {
    pool_record record{{queue_in("quotes", "p", 3), queue_in("fares", "p", 2)}};
    record.queues[0].advice = advice_settings{5ms, 2ms, 700ms};
    record.queues[1].is_public = true;
    record.queues[1].stretch_factor = 1.6;
    const auto read = decode_archive<pool_record>(encode_archive(record));
    REQUIRE(read);
    CHECK(read.value() == record);
}
