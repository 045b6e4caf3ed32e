#include "jobs/scheduler_fixture.hpp"

#include <array>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::int64_t first_start_ms = 1'700'000'000'000;
constexpr std::int64_t second_start_ms = first_start_ms + 60'000;
const std::string first_life = make_incarnation("v1", first_start_ms);
const std::string second_life = make_incarnation("v1", second_start_ms);

/// A pool with one VM that reports its start, and whose second start is driven by the test.
class restart_fixture : public scheduler_fixture {
  public:
    explicit restart_fixture(std::uint32_t epoch = 0) : scheduler_fixture(epoch) {}

    static vm_info life(const std::string& incarnation) {
        vm_info vm = info(incarnation);
        vm.machine = "m-v1";
        return vm;
    }

    void list(const std::string& incarnation) { pool().add_or_update_vm(life(incarnation)); }

    /// A report whose renewal was sent `age` ago, by a clock that began `clock_ms` ago.
    void report_from(const std::string& incarnation, std::int64_t clock_ms,
                     std::vector<running_report> running = {}, std::vector<end_report> ended = {},
                     milliseconds age = 0ms) {
        pool().handle_report(
            incarnation,
            {clock_ms, std::move(running), std::move(ended), start_time_of(incarnation), now() - age}, now());
    }

    /// The VM answers as its second start to a renewal that was meant for the first.
    void restart(std::int64_t clock_ms, std::vector<running_report> running = {},
                 std::vector<end_report> ended = {}) {
        CHECK(pool().add_restarted_vm(first_life, second_start_ms) == second_life);
        report_from(second_life, clock_ms, std::move(running), std::move(ended));
    }
};

/// Clock of the first start, and clocks of the second that are behind and ahead of it.
constexpr std::int64_t first_clock = 500'000;
constexpr std::array<std::int64_t, 2> second_clocks{1, 900'000};

step_spec lasting_step(std::uint32_t count) {
    step_spec item = scheduler_fixture::step(count);
    item.long_lived = true;
    return item;
}

} // namespace

TEST_CASE("the name of an incarnation consists of the VM's id and its start") {
    struct row {
        const char* id;
        std::int64_t started_ms;
        const char* name;
    };
    for (const row& item :
         {row{"i-7", 0, "i-7"}, row{"i-7", 1, "i-7/1"}, row{"i", first_start_ms, "i/1700000000000"}}) {
        CHECK(make_incarnation(item.id, item.started_ms) == item.name);
        CHECK(vm_id_of(item.name) == item.id);
        CHECK(start_time_of(item.name) == item.started_ms);
    }
}

// Guards against ends that are dropped, and acknowledged unread, since the previous start used their numbers.
TEST_CASE("ends are numbered for each start of a VM") {
    for (const std::int64_t clock : second_clocks) {
        INFO(clock);
        restart_fixture b;
        b.list(first_life);
        b.report_from(first_life, first_clock);
        b.add_job("j", {scheduler_fixture::step(3)});
        const auto first = b.start_all();
        REQUIRE(first.size() == 3);
        b.report_from(first_life, first_clock + 10, {},
                      {b.end(1, first[0], run_end::done), b.end(2, first[1], run_end::done),
                       b.end(3, first[2], run_end::done)});
        b.store_changes();
        CHECK(b.pool().ends_to_acknowledge(first_life, b.now()) == 3);
        b.restart(clock);
        CHECK(b.pool().ends_to_acknowledge(second_life, b.now()) == 0);
        b.list(second_life);
        b.add_job("k", {scheduler_fixture::step(1)});
        const auto second = b.start_all();
        REQUIRE(second.size() == 1);
        CHECK(second[0].vm == second_life);
        b.report_from(second_life, clock + 10, {}, {b.end(1, second[0], run_end::done)});
        CHECK(b.decide().starts.empty());
        b.store_changes();
        CHECK(b.pool().phase_of("k") == job_phase::completed);
        CHECK(b.pool().ends_to_acknowledge(second_life, b.now()) == 1);
    }
}

// Guards against a run that counts as active since the VM's new clock is behind the run's last confirmation.
TEST_CASE("runs that a VM had listed end with its start, whatever its next start's clock is") {
    for (const std::int64_t clock : second_clocks) {
        INFO(clock);
        restart_fixture b;
        b.list(first_life);
        b.report_from(first_life, first_clock);
        b.add_job("j", {lasting_step(1)});
        const auto first = b.start_all();
        REQUIRE(first.size() == 1);
        b.advance_clock(6000ms);
        b.report_from(first_life, first_clock + 6000, {b.running(first[0])});
        b.restart(clock);
        b.list(second_life);
        CHECK(!b.pool().vms().contains(first_life));
        const auto again = b.decide().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].vm == second_life);
        CHECK(again[0].attempt == 2);
    }
}

// Guards against a second run of a task whose start order reached the VM's next start.
TEST_CASE(
    "a start that no report has confirmed is stopped at the next start before the task runs elsewhere") {
    struct row {
        const char* name = "";
        std::optional<order_outcome> answer; ///< To the start order; none: still in flight.
        bool long_lived = false;
    };
    for (const row& item :
         {row{"in flight", {}, false}, row{"not answered", order_outcome::unknown, false},
          row{"accepted", order_outcome::accepted, false}, row{"in flight, long-lived", {}, true},
          row{"not answered, long-lived", order_outcome::unknown, true}}) {
        INFO(std::string(item.name));
        restart_fixture b;
        b.list(first_life);
        b.report_from(first_life, first_clock);
        b.add_job("j", {item.long_lived ? lasting_step(1) : scheduler_fixture::step(1)});
        const auto first = b.decide().starts;
        REQUIRE(first.size() == 1);
        if (item.answer) {
            b.pool().handle_start_answer(first[0], *item.answer, 0, b.now());
            static_cast<void>(b.decide());
        }
        b.advance_clock(100ms);
        b.restart(1);
        b.list(second_life);
        const decisions wanted = b.decide();
        CHECK(wanted.starts.empty());
        REQUIRE(wanted.stops.size() == 1);
        CHECK(wanted.stops[0].vm == second_life);
        CHECK(wanted.stops[0].attempt == first[0].attempt);
        b.store_changes();
        SUBCASE("the order was never carried out") {
            b.advance_clock(10ms);
            b.report_from(second_life, 50, {}, {}, 5ms); // Was requested before the stop was answered.
            b.pool().handle_stop_answer(wanted.stops[0], order_outcome::accepted, 0, b.now());
            b.report_from(second_life, 60, {}, {}, 5ms);
            CHECK(b.decide().starts.empty());
            b.advance_clock(10ms);
            b.report_from(second_life, 70, {}, {}, 5ms);
            CHECK(b.decide().starts.size() == 1);
        }
        SUBCASE("the order was carried out, and the run is stopped") {
            b.report_from(second_life, 50, {b.running(first[0])});
            CHECK(b.decide().starts.empty());
            b.report_from(second_life, 60, {}, {b.end(1, first[0], run_end::stopped)});
            CHECK(b.decide().starts.size() == 1);
        }
        SUBCASE("the order was carried out, and the run is done") {
            b.report_from(second_life, 60, {}, {b.end(1, first[0], run_end::done)});
            b.store_changes();
            CHECK((b.pool().phase_of("j") == job_phase::completed) == !item.long_lived);
        }
    }
}

// Guards against a run at the next start that is taken for a surplus one, and stopped, while it is the only
// one.
TEST_CASE("a run that the next start lists goes on") {
    restart_fixture b;
    b.list(first_life);
    b.report_from(first_life, first_clock);
    b.add_job("j", {lasting_step(1)});
    const auto first = b.start_all();
    REQUIRE(first.size() == 1);
    b.restart(1, {b.running(first[0])});
    b.list(second_life);
    const decisions wanted = b.decide();
    CHECK(wanted.stops.empty());
    CHECK(wanted.starts.empty());
    CHECK(b.pool().vms().at(second_life).used() == scheduler_fixture::step(1).need);
}

// Guards against late answers of a VM's previous start that change what is known of the present one.
TEST_CASE("answers of an incarnation that has ended change nothing") {
    restart_fixture b;
    b.list(first_life);
    b.report_from(first_life, first_clock);
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto first = b.start_all();
    b.restart(1, {b.running(first[0])});
    b.list(second_life);
    b.report_from(first_life, first_clock + 10, {}, {b.end(1, first[0], run_end::failed)});
    b.pool().handle_start_answer(first[0], order_outcome::refused_capacity, first_clock, b.now());
    b.pool().handle_stop_answer({first_life, first[0].task, 1}, order_outcome::accepted, first_clock,
                                b.now());
    b.pool().handle_vm_ended(first_life, vm_end_cause::replaced, b.now());
    b.pool().handle_vm_unreachable(first_life, b.now());
    CHECK(b.decide().starts.empty());
    CHECK(b.pool().vms().at(second_life).reachable);
    CHECK(b.pool().vms().at(second_life).has_run(first[0].task));
}

// Guards against an answer to a start order that makes an older report of the previous start resolve the run.
TEST_CASE("a report that was requested before a start was answered doesn't resolve the run") {
    restart_fixture b;
    b.list(first_life);
    b.report_from(first_life, first_clock);
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto first = b.decide().starts;
    REQUIRE(first.size() == 1);
    b.advance_clock(50ms);
    b.pool().handle_start_answer(first[0], order_outcome::accepted, 0, b.now());
    b.advance_clock(10ms);
    b.report_from(first_life, first_clock + 30, {}, {}, 40ms);
    CHECK(b.decide().starts.empty());
    b.report_from(first_life, first_clock + 60, {}, {}, 5ms);
    CHECK(b.decide().starts.size() == 1);
}

// Guards against ends that a restarted VM discards unread, by an acknowledgement of its previous start's
// ends.
TEST_CASE("ends are acknowledged only shortly after a report") {
    restart_fixture b;
    b.list(first_life);
    b.add_job("j", {scheduler_fixture::step(1)});
    b.report_from(first_life, first_clock);
    const auto first = b.start_all();
    b.report_from(first_life, first_clock + 10, {}, {b.end(1, first[0], run_end::done)});
    b.advance_clock(1000ms);
    b.store_changes();
    CHECK(b.pool().ends_to_acknowledge(first_life, b.now()) == 0);
    b.report_from(first_life, first_clock + 1010, {}, {b.end(1, first[0], run_end::done)});
    CHECK(b.pool().ends_to_acknowledge(first_life, b.now()) == 1);
    CHECK(b.pool().ends_to_acknowledge("unknown", b.now()) == 0);
}

// Guards against a task that crashes one VM again and again: each start of the VM is evidence of its own.
TEST_CASE("crashes of one VM under one id count each") {
    scheduler_fixture b;
    b.add_job("j", {scheduler_fixture::step(1)});
    std::int64_t clock = 1;
    std::string life;
    std::size_t starts = 0;
    for (std::int64_t start = 1; start <= 12; ++start) {
        const std::string next = make_incarnation("v1", first_start_ms + start);
        vm_info vm = b.info(next);
        vm.machine = "m-v1";
        b.pool().add_or_update_vm(vm);
        b.pool().handle_report(next, {clock, {}, {}, first_start_ms + start, b.now()}, b.now());
        life = next;
        for (int i = 0; i < 4; ++i) {
            static_cast<void>(b.decide());
            b.store_changes();
        }
        for (int i = 0; i < 40 && b.pool().vms().at(life).tasks().empty(); ++i) {
            b.advance_clock(100ms);
            clock += 100;
            b.pool().handle_report(life, {clock, {}, {}, first_start_ms + start, b.now()}, b.now());
            for (const start_order& order : b.decide().starts) {
                b.pool().handle_start_answer(order, order_outcome::accepted, 0, b.now());
            }
        }
        starts += b.pool().vms().at(life).tasks().size();
        b.advance_clock(10ms);
        b.pool().handle_report(life,
                               {clock + 10,
                                {{{"j", 0, 0, 0}, static_cast<std::uint32_t>(start), "", 0, 0}},
                                {},
                                first_start_ms + start,
                                b.now()},
                               b.now());
        b.pool().handle_vm_unreachable(life, b.now());
        b.advance_clock(500ms);
    }
    static_cast<void>(b.decide());
    b.store_changes();
    CHECK(b.pool().phase_of("j") == job_phase::failed);
    CHECK(starts <= 5);
}

// Guards against tasks that a new owner starts again while the VM of its predecessor's record, which has
// started again, runs them.
TEST_CASE("a new owner learns from the present start what runs on a VM of its predecessor's record") {
    struct row {
        const char* name = "";
        std::string recorded;
        bool listed = false; ///< The platform lists the present start before the VM reports.
    };
    for (const row& item :
         {row{"an earlier start", first_life, true}, row{"an earlier start, unlisted", first_life, false},
          row{"a record without starts", "v1", true}}) {
        INFO(std::string(item.name));
        restart_fixture b(1);
        b.pool().restore_job(b.record("j", {scheduler_fixture::step(2)}), std::nullopt, b.now());
        b.pool().expect_vm(restart_fixture::life(item.recorded));
        CHECK(b.decide().starts.empty());
        if (item.listed) {
            b.list(second_life);
        } else {
            CHECK(b.pool().add_restarted_vm(item.recorded, second_start_ms) == second_life);
        }
        b.report_from(second_life, 1, {{{"j", 0, 0, 0}, 7, "", 50, 0}});
        CHECK(b.pool().unconfirmed_vms().empty());
        b.list(second_life);
        const auto starts = b.decide().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].task.index == 1);
    }
}

// Guards against crash evidence, or lost runs, when a VM begins to report its start.
TEST_CASE("runs of a VM whose start was not known go on under its known start") {
    restart_fixture b;
    b.list("v1");
    b.report_from("v1", first_clock);
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto first = b.start_all();
    REQUIRE(first.size() == 1);
    b.report_from("v1", first_clock + 10, {b.running(first[0])});
    b.list(second_life);
    b.report_from(second_life, first_clock + 20, {b.running(first[0])});
    const decisions wanted = b.decide();
    CHECK(wanted.starts.empty());
    CHECK(wanted.stops.empty());
    CHECK(wanted.ended_vms.empty());
    CHECK(b.pool().suspect_count() == 0);
    CHECK(!b.pool().vms().contains("v1"));
}

// Guards against a late report of a VM's previous start that ends the present one, which has not reported
// yet.
TEST_CASE("a report ends only incarnations that were known before it was requested") {
    restart_fixture b;
    b.list(first_life);
    b.report_from(first_life, first_clock);
    b.list(second_life);
    b.report_from(first_life, first_clock + 10);
    CHECK(b.pool().vms().contains(second_life));
    CHECK(b.pool().vms().contains(first_life));
    b.report_from(second_life, 1);
    CHECK_FALSE(b.pool().vms().contains(first_life));
    b.report_from(first_life, first_clock + 20);
    CHECK(b.pool().vms().contains(second_life));
}

// Guards against a start order that is carried out by the VM's next start after the task was started
// elsewhere.
TEST_CASE("a start without an answer that was settled is stopped again at the next start") {
    for (const bool is_recent : {true, false}) {
        INFO(is_recent);
        restart_fixture b;
        b.list(first_life);
        b.report_from(first_life, first_clock);
        b.add_job("j", {scheduler_fixture::step(1)});
        const auto first = b.decide().starts;
        REQUIRE(first.size() == 1);
        b.pool().handle_start_answer(first[0], order_outcome::unknown, 0, b.now());
        const auto stops = b.decide().stops;
        REQUIRE(stops.size() == 1);
        b.pool().handle_stop_answer(stops[0], order_outcome::accepted, 0, b.now());
        b.advance_clock(10ms);
        b.report_from(first_life, first_clock + 10, {}, {}, 5ms);
        b.add_vm("v2");
        b.pool().cordon(first_life, true);
        const auto again = b.start_all();
        REQUIRE(again.size() == 1);
        CHECK(again[0].vm == "v2");
        b.advance_clock(is_recent ? 5000ms : 20'000ms);
        b.report("v2", {b.running(again[0])});
        b.restart(1);
        const auto late = b.decide().stops;
        REQUIRE(late.size() == (is_recent ? 1 : 0));
        if (is_recent) {
            CHECK(late[0].vm == second_life);
            CHECK(late[0].attempt == first[0].attempt);
        }
    }
}

// Guards against a machine that is moved while an earlier start of its VM may still hold runs.
TEST_CASE("the load of a VM is that of all its incarnations") {
    const std::vector<vm_load> merged =
        merge_by_id(std::vector<vm_load>{{first_life, true, false, false, true, 500},
                                         {"v2", true, true, true, false, 0},
                                         {second_life, false, true, true, false, 200}});
    REQUIRE(merged.size() == 2);
    CHECK(merged[0].vm == "v1");
    CHECK(merged[0].is_usable);
    CHECK_FALSE(merged[0].is_idle);
    CHECK_FALSE(merged[0].released);
    CHECK(merged[0].hosts_long_lived);
    CHECK(merged[0].used_millicores == 700);
    CHECK(merged[1].vm == "v2");
    CHECK(merged[1].is_idle);
    CHECK(merged[1].released);
}

// Guards against VMs whose id begins with another VM's id, which are taken for its incarnations.
TEST_CASE("only incarnations with the same id are another start of a VM") {
    restart_fixture b;
    for (const std::string name :
         {"v1", "v1-2", "v1/1700000000000", "v1/1700000060000", "v10", "v10/1700000060000"}) {
        b.pool().expect_vm(restart_fixture::life(name));
    }
    CHECK(b.pool().previous_incarnations(second_life) == std::vector<std::string>{"v1", first_life});
    CHECK(b.pool().previous_incarnations("v1") == std::vector<std::string>{first_life, second_life});
    CHECK(b.pool().previous_incarnations("v1-2").empty());
}
