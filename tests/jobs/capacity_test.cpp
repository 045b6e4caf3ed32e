#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::int64_t cores = 4;

/// A VM of four cores on which four tasks of one core run.
struct full_vm {
    scheduler_fixture fixture;
    std::vector<start_order> runs;

    full_vm() {
        fixture.add_vm("v1", cores);
        fixture.add_job("j", {scheduler_fixture::step(8)});
        runs = fixture.start_all();
    }

    void set_cores(std::int64_t present) {
        fixture.pool().add_or_update_vm(scheduler_fixture::info("v1", present));
    }

    /// Reports the first `ended` runs as done and the others as active; returns the number of new starts.
    std::size_t count_starts_after(std::size_t ended) {
        std::vector<running_report> alive;
        std::vector<end_report> ends;
        for (std::size_t i = 0; i < runs.size(); ++i) {
            if (i < ended) {
                ends.push_back(
                    scheduler_fixture::end(static_cast<std::int64_t>(i + 1), runs[i], run_end::done));
            } else {
                alive.push_back(scheduler_fixture::running(runs[i]));
            }
        }
        fixture.advance_clock(10ms);
        fixture.report("v1", alive, ends);
        const decisions wanted = fixture.decide();
        CHECK(wanted.stops.empty());
        return wanted.starts.size();
    }
};

} // namespace

// Guards against starts on a VM whose capacity has shrunk below what its runs use, and against stopping those
// runs.
TEST_CASE("starts use the present capacity of a VM") {
    struct row {
        std::string name;
        std::int64_t present = cores;
        std::size_t ended = 0;
        std::size_t starts = 0;
    };
    const std::array rows{row{"unchanged", 4, 1, 1},
                          row{"shrunk to the capacity in use", 3, 1, 0},
                          row{"shrunk below the capacity in use", 1, 2, 0},
                          row{"shrunk, with most runs ended", 2, 3, 1},
                          row{"shrunk to zero", 0, 4, 0},
                          row{"grown", 6, 0, 2}};
    for (const row& item : rows) {
        INFO(item.name);
        full_vm vm;
        REQUIRE(vm.runs.size() == 4);
        vm.set_cores(item.present);
        CHECK(vm.count_starts_after(item.ended) == item.starts);
    }
}

TEST_CASE("runs being started or stopped count against a shrunk capacity") {
    scheduler_fixture b;
    b.add_vm("v1", cores);
    b.add_job("starting", {scheduler_fixture::step(2)});
    REQUIRE(b.decide().starts.size() == 2); // Not answered yet.
    b.add_job("stopping", {scheduler_fixture::step(1)});
    const auto runs = b.start_all();
    REQUIRE(runs.size() == 1);
    static_cast<void>(b.pool().cancel("stopping", b.now()));
    CHECK(b.decide().stops.size() == 1);
    b.pool().add_or_update_vm(b.info("v1", 3));
    b.add_job("next", {scheduler_fixture::step(1)});
    CHECK(b.decide().starts.empty());
    b.pool().add_or_update_vm(b.info("v1", 4));
    CHECK(b.decide().starts.size() == 1);
}

TEST_CASE("a gang waits while the VMs have too little capacity for it") {
    scheduler_fixture b;
    b.add_vm("v1", cores);
    b.add_vm("v2", cores);
    b.pool().add_or_update_vm(b.info("v2", 1));
    step_spec gang = scheduler_fixture::step(6);
    gang.gang = true;
    b.add_job("j", {gang});
    CHECK(b.decide().starts.empty());
    b.pool().add_or_update_vm(b.info("v2", 2));
    CHECK(b.decide().starts.size() == 6);
}

TEST_CASE("admission and demand use the present capacity of VMs") {
    scheduler_fixture b;
    b.add_vm("v1", 32);
    b.add_vm("v2", 32);
    b.add_job("waiting", {scheduler_fixture::step(120)});
    b.start_all();
    static_cast<void>(b.decide());
    const job_spec next = b.record("next", {scheduler_fixture::step(8)}).spec;
    CHECK(b.pool().check_admission(next).accepted);
    const std::int64_t need = b.pool().demand(b.now()).need_millicores;
    b.pool().add_or_update_vm(b.info("v1", 8));
    b.pool().add_or_update_vm(b.info("v2", 8));
    static_cast<void>(b.decide());
    CHECK(!b.pool().check_admission(next).accepted);
    CHECK(b.pool().demand(b.now()).need_millicores == 4 * need);
}

// Guards against overloading VMs that don't check their capacity when the owner's data on it is outdated.
TEST_CASE("nothing starts while the capacity of VMs is unknown") {
    scheduler_fixture b;
    b.add_vm("v1", cores);
    b.add_job("j", {scheduler_fixture::step(1)});
    b.pool().hold_starts(true);
    CHECK(b.decide().starts.empty());
    b.pool().hold_starts(false);
    CHECK(b.decide().starts.size() == 1);
}
