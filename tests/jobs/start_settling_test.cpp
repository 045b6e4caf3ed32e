#include "jobs/start_replay.hpp"
#include "jobs/start_settling.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr milliseconds usual_answer_time = 20ms;
/// More answers than the estimate needs.
constexpr int many_answers = 20;

start_settling measured_settling(milliseconds answer_time, timestamp now) {
    start_settling item;
    for (int i = 0; i < many_answers; ++i) {
        item.record_start_answer(now - answer_time, now);
    }
    return item;
}

/// A pool whose starts are usually answered after `usual_answer_time`, and a start that isn't answered.
struct pool_with_unanswered_start {
    scheduler_fixture b;
    start_order order;

    pool_with_unanswered_start() {
        b.add_vm("v1", 64);
        b.add_vm("v2", 64);
        b.add_job("measured", {scheduler_fixture::step(many_answers)});
        const std::vector<start_order> starts = b.decide().starts;
        b.advance_clock(usual_answer_time);
        for (const start_order& item : starts) {
            b.accept(item);
        }
        b.add_job("j", {scheduler_fixture::step(1)});
        order = b.decide().starts.at(0);
    }

    /// Another VM answers, and the owner decides.
    decisions decide_after(milliseconds time, bool hears_answers = true) {
        b.advance_clock(time);
        b.pool().handle_report(other(), {b.vm_clock(), m_running, {}, 0, b.now()}, b.now());
        return b.decide(true, hears_answers);
    }

    [[nodiscard]] std::string other() const { return order.vm == "v1" ? "v2" : "v1"; }

    [[nodiscard]] stop_order stop() const { return {order.vm, order.task, order.attempt}; }

    bool answer_stop() {
        return b.pool().handle_stop_answer(stop(), order_outcome::accepted, b.vm_clock(), b.now());
    }

    void report(std::vector<running_report> running, std::vector<end_report> ended = {}) {
        b.advance_clock(5ms);
        b.pool().handle_report(order.vm, {b.vm_clock(), std::move(running), std::move(ended), 0, b.now()},
                               b.now());
    }

    [[nodiscard]] const std::vector<run>& runs() { return b.pool().find_job("j")->task(order.task).runs; }

  private:
    std::vector<running_report> m_running;
};

} // namespace

TEST_CASE("a start is overdue after a multiple of the usual answer time") {
    struct overdue_case {
        milliseconds answer_time;
        milliseconds expected;
    };
    const start_settling_settings settings;
    const timestamp now(10'000);
    for (const overdue_case& item : {overdue_case{2ms, settings.min_wait},
                                     {60ms, 240ms},
                                     {150ms, 600ms},
                                     {700ms, settings.call_timeout}}) {
        CAPTURE(item.answer_time.count());
        const milliseconds wait = measured_settling(item.answer_time, now).wait();
        CHECK(wait >= item.expected);
        CHECK(wait <= item.expected + 5ms);
    }
    CHECK(start_settling().wait() == settings.call_timeout);
}

TEST_CASE("starts are settled only while other answers arrive, and a bounded number per second") {
    // Guards against an owner that was paused and stops all starts whose answers wait in its sockets.
    const start_settling_settings settings;
    const timestamp sent(10'000);
    start_settling item = measured_settling(usual_answer_time, sent);
    const timestamp overdue = sent + settings.min_wait;
    CHECK(!item.settle(sent, overdue));
    item.record_response(overdue);
    CHECK(!item.settle(sent, overdue - 1ms));
    for (std::size_t i = 0; i < settings.max_per_second; ++i) {
        CHECK(item.settle(sent, overdue));
    }
    CHECK(!item.settle(sent, overdue));
    CHECK(item.settle(sent, overdue + 1s));
}

TEST_CASE("jobs aren't delayed by the timeout of unanswered starts") {
    // Guards against jobs that are late by a call's timeout and a poll because one start of thirteen has no
    // answer: red if no starts are settled early.
    struct replay_case {
        int unanswered_percent;
        std::size_t max_late_jobs;
    };
    constexpr milliseconds objective = 1000ms;
    for (const replay_case& item : {replay_case{0, 0}, {3, 6}, {7, 15}, {15, 45}}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            CAPTURE(item.unanswered_percent);
            CAPTURE(seed);
            start_replay_settings settings;
            settings.unanswered_percent = item.unanswered_percent;
            const start_replay_result result = start_replay(settings, seed).play();
            CHECK(result.concurrent_runs == 0);
            CHECK(result.job_times.size() == static_cast<std::size_t>(settings.job_count));
            CHECK((result.settled_starts > 0) == (item.unanswered_percent > 0));
            const auto late =
                std::ranges::count_if(result.job_times, [&](milliseconds time) { return time > objective; });
            MESSAGE(item.unanswered_percent << " % unanswered, seed " << seed << ": late " << late
                                            << ", settled early " << result.settled_starts);
            CHECK(static_cast<std::size_t>(late) <= item.max_late_jobs);
        }
    }
}

TEST_CASE("a settled start runs elsewhere only after a report that follows the stop's answer") {
    pool_with_unanswered_start p;
    const decisions wanted = p.decide_after(200ms);
    REQUIRE(wanted.settled_starts.size() == 1);
    CHECK(wanted.settled_starts.at(0).attempt == p.order.attempt);
    REQUIRE(wanted.stops.size() == 1);
    SUBCASE("the stop is answered") {
        CHECK(p.answer_stop());
        CHECK(p.decide_after(5ms).starts.empty());
        p.report({});
        const std::vector<start_order> again = p.b.decide().starts;
        REQUIRE(!again.empty());
        CHECK(again.back().attempt > p.order.attempt);
    }
    SUBCASE("the stop's answer is lost") {
        p.report({});
        CHECK(p.runs().size() == 1);
        const decisions repeated = p.decide_after(700ms);
        REQUIRE(repeated.stops.size() == 1);
        CHECK(repeated.stops.at(0).attempt == p.order.attempt);
        CHECK(repeated.settled_starts.empty());
        CHECK(p.runs().size() == 1);
    }
    SUBCASE("the start's answer arrives after the stop was sent") {
        p.b.accept(p.order);
        REQUIRE(p.runs().size() == 1);
        CHECK(p.runs().at(0).phase == run_phase::stopping);
        p.report({scheduler_fixture::running(p.order)});
        CHECK(p.runs().size() == 1);
        p.report({}, {scheduler_fixture::end(1, p.order, run_end::done)});
        CHECK(p.runs().empty());
        CHECK(p.b.pool().find_job("j")->task(p.order.task).done);
    }
    SUBCASE("the late start is refused because of the stop") {
        p.b.pool().handle_start_answer(p.order, order_outcome::refused_outdated, p.b.vm_clock(), p.b.now());
        CHECK(p.runs().empty());
    }
    SUBCASE("a report that was overtaken doesn't bring an ended run back") {
        const vm_report overtaken{p.b.vm_clock(), {scheduler_fixture::running(p.order)}, {}, 0, p.b.now()};
        p.report({}, {scheduler_fixture::end(1, p.order, run_end::stopped)});
        CHECK(p.runs().empty());
        p.b.pool().handle_report(p.order.vm, overtaken, p.b.now());
        CHECK(p.runs().empty());
    }
}

TEST_CASE("starts aren't settled early where that would do harm") {
    pool_with_unanswered_start p;
    SUBCASE("answers to the owner are late in general") {
        CHECK(p.decide_after(200ms, false).settled_starts.empty());
    }
    SUBCASE("no answer arrives") {
        p.b.advance_clock(200ms);
        CHECK(p.b.decide().settled_starts.empty());
    }
    SUBCASE("the VM doesn't respond") {
        p.b.pool().handle_vm_unreachable(p.order.vm, p.b.now());
        CHECK(p.decide_after(200ms).settled_starts.empty());
    }
    SUBCASE("the start isn't overdue") {
        const decisions wanted = p.decide_after(50ms);
        CHECK(wanted.settled_starts.empty());
        REQUIRE(wanted.next_overdue_start);
        CHECK(*wanted.next_overdue_start == p.b.now() + 100ms);
    }
}

TEST_CASE("a start of a long-lived task is never settled early") {
    pool_with_unanswered_start p;
    step_spec serving = scheduler_fixture::step(1);
    serving.long_lived = true;
    p.b.add_job("serving", {serving});
    const std::vector<start_order> starts = p.b.decide().starts;
    REQUIRE(starts.size() == 1);
    p.b.accept(p.order);
    CHECK(p.decide_after(300ms).settled_starts.empty());
}

TEST_CASE("a settled start that is carried out by the VM's next incarnation is stopped there") {
    // Guards against a second run: once the run is settled, only the VM's record tells that its order may
    // still be on its way.
    vm_state vm(scheduler_fixture::info("v"));
    const task_id task{"j", 0, 0, 0};
    const timestamp sent(10'000);
    vm.record_unanswered_start(task, 1, sent, sent + 200ms);
    vm.record_unanswered_start(task, 1, sent, sent + 800ms);
    CHECK(vm.late_starts(sent + 1s).size() == 1);
    CHECK(vm.late_starts(sent + 20s).empty());
    CHECK(vm.take_unanswered_start(task, 1) == sent);
    CHECK(!vm.take_unanswered_start(task, 1));
}
