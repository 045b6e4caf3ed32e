#include "jobs/jobs.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

struct wave_bench {
    wave_state wave;
    std::map<std::string, upkeep_machine> machines;
    timestamp now{10'000};

    explicit wave_bench(std::size_t at_once) { wave.at_once = at_once; }

    void machine(const std::string& name, bool idle, const std::string& vm) {
        machines[name] = {name, "p", vm, true, idle, idle, false};
        wave.machines.push_back(name);
    }

    wave_step step(milliseconds passed = 100ms) {
        now += passed;
        return plan_wave(wave, machines, 2s, now);
    }

    void order(const std::string& name, bool confirmed) {
        wave.waiting[name] = {machines[name].vm, now, confirmed};
        if (confirmed) {
            wave.confirmed.insert(name);
        }
    }
};

} // namespace

TEST_CASE("a wave takes idle machines first and never more at once than it may") {
    wave_bench b(2);
    b.machine("busy", false, "v0");
    for (const char* name : {"m1", "m2", "m3"}) {
        b.machine(name, true, std::string("v-") + name);
    }
    const wave_step first = b.step();
    CHECK(first.order == std::vector<std::string>{"m1", "m2"});
    CHECK_FALSE(first.completed);
    b.order("m1", true);
    b.order("m2", true);
    CHECK(b.step().order.empty());
    b.machines["m1"].vm = "v-new";
    CHECK(b.step().order == std::vector<std::string>{"m3"});
}

TEST_CASE("an order without an answer is given again and does not count as done") {
    // An operator reads that a wave is completed, and eight machines of it never had their upkeep: the
    // platform did not carry out orders that it did not answer either, and the passing of time was taken for
    // their end.
    wave_bench b(1);
    b.machine("m", true, "v");
    CHECK(b.step().order.size() == 1);
    b.order("m", false);
    CHECK(b.step().order.empty());
    const wave_step later = b.step(10s);
    CHECK(later.order.size() == 1);
    CHECK_FALSE(later.completed);
}

TEST_CASE("a wave over machines that are off ends") {
    // A wave is never told to be completed. Machines of the spare pool run no VM before or after their
    // upkeep, and its end was only seen by another VM.
    wave_bench b(1);
    b.machine("m", true, "");
    b.order("m", true);
    CHECK_FALSE(b.step().completed);
    CHECK(b.step(5s).completed);
}

TEST_CASE("machines that an earlier owner took down count against the bound") {
    wave_bench b(1);
    b.machine("down", false, "");
    b.machines["down"].up = false;
    b.machine("m", true, "v");
    CHECK(b.step().order.empty());
    b.machines["down"].up = true;
    CHECK(b.step().order == std::vector<std::string>{"m"});
}

TEST_CASE("a machine that is gone for good does not keep a wave open") {
    wave_bench b(1);
    b.machine("m", true, "v");
    b.machines.clear();
    CHECK(b.step().completed);
}

TEST_CASE("a machine that is being emptied keeps its turn") {
    // A wave ends seven seconds late. Its last machine was busy; whenever another one was quiet for a moment,
    // that one was emptied instead and the busy one went back to work half empty.
    wave_bench b(1);
    b.machine("quiet", false, "v1");
    b.machine("busy", false, "v2");
    b.machine("other", false, "v3");
    b.machines["busy"].clearing = true;
    b.machines["quiet"].quiet = true;
    b.machines["other"].quiet = true;
    const wave_step step = b.step();
    CHECK(std::ranges::find(step.clear, "busy") != step.clear.end());
}
