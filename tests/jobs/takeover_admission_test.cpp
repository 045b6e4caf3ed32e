#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a pool that refuses jobs for ten seconds while its VMs idle: its owner died beside VMs that
// do not respond, and the tasks that may run there count as work that new jobs wait for.
TEST_CASE("tasks that a previous owner may have started refuse no new job") {
    scheduler_fixture pool(1);
    pool.pool().expect_vm(scheduler_fixture::info("dark"));
    for (int i = 0; i < 20; ++i) {
        pool.pool().restore_job(scheduler_fixture::record("old" + std::to_string(i), {pool.step(20)}), {},
                                pool.now());
    }
    for (int i = 0; i < 4; ++i) {
        pool.add_vm("v" + std::to_string(i));
    }
    pool.decide();
    const job_record next = pool.record("new", {pool.step(8)});
    CHECK(pool.pool().check_admission(next.spec).accepted);
    pool.pool().add_job(next, pool.now());
    CHECK(pool.start_all().size() == 8);
    CHECK(pool.pool().demand(pool.now()).need_millicores == 8000);

    pool.advance_clock(scheduler_settings{}.takeover_timeout + 1ms);
    for (int i = 0; i < 4; ++i) {
        pool.report("v" + std::to_string(i), {});
    }
    CHECK_FALSE(pool.decide().starts.empty());
}
