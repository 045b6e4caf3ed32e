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

TEST_CASE("a wave takes idle machines first and never more at once than it may") {
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

TEST_CASE("an order without an answer is given again and does not count as done") {
    // An operator reads that a wave is completed, and eight machines of it never had their upkeep: the
    // platform did not carry out orders that it did not answer either, and the passing of time was taken for
    // their end.
    wave_fixture b(1);
    b.add_machine("m", true, "v");
    CHECK(b.step().to_maintain.size() == 1);
    b.record_order("m", false);
    CHECK(b.step().to_maintain.empty());
    const wave_step later = b.step(10s);
    CHECK(later.to_maintain.size() == 1);
    CHECK_FALSE(later.completed);
}

TEST_CASE("a wave over machines that are off ends") {
    // A wave is never told to be completed. Machines of the spare pool run no VM before or after their
    // upkeep, and its end was only seen by another VM.
    wave_fixture b(1);
    b.add_machine("m", true, "");
    b.record_order("m", true);
    CHECK_FALSE(b.step().completed);
    CHECK(b.step(5s).completed);
}

TEST_CASE("machines that an earlier owner took down count against the bound") {
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

TEST_CASE("a machine that is gone for good does not keep a wave open") {
    wave_fixture b(1);
    b.add_machine("m", true, "v");
    b.machines.clear();
    CHECK(b.step().completed);
}

TEST_CASE("a machine that is being emptied keeps its turn") {
    // A wave ends seven seconds late. Its last machine was busy; whenever another one was quiet for a moment,
    // that one was emptied instead and the busy one went back to work half empty.
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

TEST_CASE("a wave takes no more machines at a time than its end asks for") {
    // In a turn's first seconds callers are turned away: a wave of 190 machines may take 79 at once, takes
    // them, and is through in a third of its time.
    struct concurrency_case {
        const char* what = "";
        std::optional<milliseconds> due_in;
        std::size_t left = 0;
        std::size_t concurrency = 0;
    };
    for (const concurrency_case& item :
         {concurrency_case{"at its begin", 27s, 190, 29}, concurrency_case{"a few are left", 17s, 3, 1},
          concurrency_case{"it is behind", 10s, 190, 79}, concurrency_case{"it is late", 2s, 5, 79},
          concurrency_case{"its begin is not known", std::nullopt, 190, 79}}) {
        INFO(item.what);
        wave_state wave;
        wave.max_concurrent = 79;
        if (item.due_in) {
            wave.due_at = timestamp(50'000) + *item.due_in;
        }
        CHECK(wave_concurrency(wave, item.left, 2s, timestamp(50'000)) == item.concurrency);
    }
}

TEST_CASE("machines with long-running tasks are emptied before those that are only busy") {
    // A wave ends late by its last machine: its tasks leave one by one under their disruption budget, and it
    // was begun last.
    wave_fixture b(1);
    b.add_machine("busy", false, "v1");
    b.add_machine("also-busy", false, "v2");
    b.add_machine("host", false, "v3");
    b.machines["host"].hosts_long_running = true;
    CHECK(b.step().to_evacuate.front() == "host");
}

TEST_CASE("machines that are moved or have crashed don't hold a wave up") {
    // A wave stands still for five seconds and ends late. A turn of demand ends, its machines go back to the
    // spare pool, and each that was on its way counted as one that is down for its upkeep.
    wave_fixture b(2);
    for (const char* name : {"moved", "crashed"}) {
        b.add_machine(name, false, "");
        b.machines[name].is_up = false;
    }
    b.add_machine("m1", true, "v1");
    b.add_machine("m2", true, "v2");
    CHECK(b.step().to_maintain == std::vector<std::string>{"m1", "m2"});
}
