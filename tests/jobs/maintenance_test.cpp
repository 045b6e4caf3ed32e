#include "jobs/jobs.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

struct wave_fixture {
    wave_state wave;
    std::map<std::string, wave_machine> machines;
    timestamp now{10'000};

    explicit wave_fixture(std::size_t at_once) { wave.max_concurrent = at_once; }

    void add_machine(const std::string& name, bool idle, const std::string& vm) {
        machines[name] = {name, "p", vm, true, false, idle, idle, false, false};
        wave.machines.push_back(name);
    }

    wave_step step(milliseconds passed = 100ms) {
        now += passed;
        return plan_wave(wave, machines, 2s, now);
    }

    void record_order(const std::string& name, bool confirmed) {
        wave.pending[name] = {machines[name].vm, now, confirmed};
        if (confirmed) {
            wave.confirmed.insert(name);
        }
    }
};

} // namespace

TEST_CASE("a wave orders idle machines first and at most its limit at once") {
    wave_fixture b(2);
    b.add_machine("busy", false, "v0");
    for (const char* name : {"m1", "m2", "m3"}) {
        b.add_machine(name, true, std::string("v-") + name);
    }
    const wave_step first = b.step();
    CHECK(first.to_maintain == std::vector<std::string>{"m1", "m2"});
    CHECK_FALSE(first.completed);
    b.record_order("m1", true);
    b.record_order("m2", true);
    CHECK(b.step().to_maintain.empty());
    b.machines["m1"].vm = "v-new";
    CHECK(b.step().to_maintain == std::vector<std::string>{"m3"});
}

TEST_CASE("an unanswered order is sent again and does not count as done") {
    // Guards against a wave reported as completed although eight of its machines had no maintenance: the
    // platform did not carry out the orders that it did not answer, and elapsed time was taken as completion.
    wave_fixture b(1);
    b.add_machine("m", true, "v");
    CHECK(b.step().to_maintain.size() == 1);
    b.record_order("m", false);
    CHECK(b.step().to_maintain.empty());
    const wave_step later = b.step(10s);
    CHECK(later.to_maintain.size() == 1);
    CHECK_FALSE(later.completed);
}

TEST_CASE("a wave with machines that are off completes") {
    // Guards against a wave that never completes: machines of the spare pool run no VM before or after their
    // maintenance, so a new VM can't show that it is finished.
    wave_fixture b(1);
    b.add_machine("m", true, "");
    b.record_order("m", true);
    CHECK_FALSE(b.step().completed);
    CHECK(b.step(5s).completed);
}

TEST_CASE("machines taken down by a previous owner count against the limit") {
    wave_fixture b(1);
    b.add_machine("down", false, "");
    b.machines["down"].is_up = false;
    b.machines["down"].in_maintenance = true;
    b.add_machine("m", true, "v");
    CHECK(b.step().to_maintain.empty());
    b.machines["down"].is_up = true;
    b.machines["down"].in_maintenance = false;
    CHECK(b.step().to_maintain == std::vector<std::string>{"m"});
}

TEST_CASE("a machine removed from the fleet does not keep a wave from completing") {
    wave_fixture b(1);
    b.add_machine("m", true, "v");
    b.machines.clear();
    CHECK(b.step().completed);
}

TEST_CASE("a machine that is being evacuated keeps its place") {
    // Guards against a wave that ends seven seconds late: whenever another machine was briefly idle, it was
    // evacuated instead of the last, busy one, which then got new runs.
    wave_fixture b(1);
    b.add_machine("quiet", false, "v1");
    b.add_machine("busy", false, "v2");
    b.add_machine("other", false, "v3");
    b.machines["busy"].evacuating = true;
    b.machines["quiet"].is_idle = true;
    b.machines["other"].is_idle = true;
    const wave_step step = b.step();
    CHECK(std::ranges::find(step.to_evacuate, "busy") != step.to_evacuate.end());
}

TEST_CASE("a wave takes only as many machines at a time as its deadline requires") {
    // Guards against refusals in the first seconds of a demand peak: a wave of 190 machines that takes the
    // allowed 79 at once needs only a third of its time.
    struct concurrency_case {
        const char* what = "";
        std::optional<milliseconds> due_in;
        std::size_t left = 0;
        std::size_t concurrency = 0;
    };
    for (const concurrency_case& item :
         {concurrency_case{"at its start", 27s, 190, 29}, concurrency_case{"few machines remain", 17s, 3, 1},
          concurrency_case{"behind schedule", 10s, 190, 79}, concurrency_case{"past its reserve", 2s, 5, 79},
          concurrency_case{"start time not known", std::nullopt, 190, 79}}) {
        INFO(item.what);
        wave_state wave;
        wave.max_concurrent = 79;
        if (item.due_in) {
            wave.due_at = timestamp(50'000) + *item.due_in;
        }
        CHECK(wave_concurrency(wave, item.left, 2s, timestamp(50'000)) == item.concurrency);
    }
}

TEST_CASE("machines with long-lived tasks are evacuated before other busy machines") {
    // Guards against a wave that ends late because the machine whose tasks leave one at a time under a
    // disruption budget is evacuated last.
    wave_fixture b(1);
    b.add_machine("busy", false, "v1");
    b.add_machine("also-busy", false, "v2");
    b.add_machine("host", false, "v3");
    b.machines["host"].hosts_long_lived = true;
    CHECK(b.step().to_evacuate.front() == "host");
}

TEST_CASE("machines that are being moved or have crashed don't delay a wave") {
    // Guards against a wave that stalls for five seconds: at the end of a demand peak machines return to the
    // spare pool, and counting each as down for maintenance exhausts the wave's limit.
    wave_fixture b(2);
    for (const char* name : {"moved", "crashed"}) {
        b.add_machine(name, false, "");
        b.machines[name].is_up = false;
    }
    b.add_machine("m1", true, "v1");
    b.add_machine("m2", true, "v2");
    CHECK(b.step().to_maintain == std::vector<std::string>{"m1", "m2"});
}
