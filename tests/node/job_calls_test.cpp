#include "node/moving_queue.hpp"
#include "platform/wire.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string fresh_job = "dddddddddddddddd";

struct store_calls {
    std::size_t reads = 0;
    std::size_t writes = 0;

    bool operator==(const store_calls&) const = default;
};

store_calls calls_so_far(const moving_queue& d) {
    return {d.store.call_count(std::string(platform::wire::get_path)),
            d.store.call_count(std::string(platform::wire::commit_path))};
}

/// A client's call and the calls to the store until it is answered.
struct call_case {
    const char* name;
    const char* method;
    std::string job;
    int code;
    store_calls calls;
};

void check_calls(moving_queue& d, const std::vector<call_case>& cases) {
    for (const call_case& item : cases) {
        INFO(std::string(item.name));
        d.wait(1500ms); // Writes that earlier calls caused have ended.
        const store_calls before = calls_so_far(d);
        const std::string body = std::string(item.method) == "POST" ? d.job_body(1) : std::string();
        CHECK(d.call("n1", item.method, "/quotes/" + item.job, body).code == item.code);
        const store_calls after = calls_so_far(d);
        CHECK(after.reads - before.reads == item.calls.reads);
        CHECK(after.writes - before.writes == item.calls.writes);
    }
}

} // namespace

// Guards against a place that costs calls, and against calls that grow with the number of pools.
TEST_CASE("a call about a job takes a fixed number of calls to the store") {
    moving_queue d({"n1"});
    d.submit_both();
    check_calls(d, {
                       {"a fresh job", "POST", fresh_job, 200, {0, 1}},
                       {"a repeat", "POST", ending_job, 200, {0, 0}},
                       {"a look-up", "GET", lasting_job, 200, {0, 0}},
                       {"a look-up of an unknown job", "GET", "ffffffffffffffff", 410, {4, 0}},
                   });
    d.lead("quotes", "q");
    check_calls(d, {
                       {"a repeat after the move", "POST", ending_job, 200, {0, 1}},
                       {"a look-up after the move", "GET", lasting_job, 200, {1, 0}},
                       {"a look-up of an ended job after the move", "GET", ending_job, 200, {1, 0}},
                       {"a fresh job in the new pool", "POST", "eeeeeeeeeeeeeeee", 200, {0, 1}},
                       {"a cancellation after the move", "DELETE", lasting_job, 200, {1, 1}},
                   });
}
