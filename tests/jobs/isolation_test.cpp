#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::int64_t vm_cores = 8;

/// Four VMs of which three serve; jobs that must be isolated wait for one of them.
class isolation_replay {
  public:
    isolation_replay() : m_pool(1) {
        for (const std::string& vm : m_vms) {
            m_pool.add_vm(vm, vm_cores);
        }
    }

    scheduler_fixture& pool() { return m_pool; }

    /// Adds a job, accepted in a moment, of one task under which two VMs have crashed while nothing else ran
    /// there.
    void add_isolated_job(const std::string& id) {
        job_progress progress;
        for (const char* vm : {"gone-1", "gone-2"}) {
            progress.crashes[0].push_back({vm, evidence_kind::alone, end_certainty::ended, 100});
        }
        m_pool.pool().restore_job(m_pool.record(id, {scheduler_fixture::step(1)}), progress,
                                  m_pool.now() + 1ms);
    }

    /// Fills all VMs with short tasks and returns their starts.
    std::vector<start_order> fill_vms() {
        m_pool.add_job("plain", {scheduler_fixture::step(vm_cores * m_vms.size())});
        return m_pool.start_all();
    }

    /// Ends the runs on `vm` that are among `starts`.
    void end_runs(const std::string& vm, const std::vector<start_order>& starts, run_end how) {
        std::vector<end_report> ends;
        for (const start_order& order : starts) {
            if (order.vm == vm) {
                ends.push_back(m_pool.end(++m_sequences[vm], order, how));
            }
        }
        m_pool.report(vm, {}, ends);
    }

    /// Runs for `length`; tasks end with the next report. Returns the jobs that were started.
    std::set<std::string> run_for(milliseconds length) {
        std::set<std::string> started;
        for (const timestamp end = m_pool.now() + length; m_pool.now() < end;) {
            m_pool.advance_clock(200ms);
            const std::vector<start_order> starts = m_pool.start_all();
            for (const start_order& order : starts) {
                started.insert(order.task.job);
            }
            m_pool.advance_clock(1ms);
            for (const std::string& vm : m_vms) {
                end_runs(vm, starts, run_end::done);
            }
            m_pool.store_changes();
        }
        return started;
    }

    [[nodiscard]] const std::vector<std::string>& vms() const { return m_vms; }

  private:
    std::vector<std::string> m_vms{"v1", "v2", "v3", "v4"};
    std::map<std::string, std::int64_t> m_sequences;
    scheduler_fixture m_pool;
};

} // namespace

// Guards against jobs that wait for isolation while all VMs idle: the only VM that may be reserved is one
// that takes no work for 16 s.
TEST_CASE("a VM that is quarantined is not reserved for an isolated job") {
    isolation_replay replay;
    replay.add_isolated_job("a");
    replay.add_isolated_job("b");
    const std::vector<start_order> plain = replay.fill_vms();
    replay.pool().advance_clock(1ms);
    replay.pool().decide();
    std::string reserved;
    for (const auto& [name, vm] : replay.pool().pool().vms()) {
        reserved = vm.isolated_for_job.empty() ? reserved : name;
    }
    REQUIRE_FALSE(reserved.empty());
    for (const std::string& vm : replay.vms()) {
        replay.end_runs(vm, plain, vm == reserved ? run_end::failed : run_end::done);
    }
    REQUIRE(replay.pool().pool().vms().at(reserved).is_quarantined(replay.pool().now() + 10s));
    const std::set<std::string> started = replay.run_for(2s);
    CHECK(started.contains("a"));
    CHECK(started.contains("b"));
}
