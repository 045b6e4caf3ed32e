#include "jobs/scheduler_fixture.hpp"

#include <set>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::size_t zone_count = 6;

std::string zone_name(std::size_t number) {
    return "z" + std::to_string(number % zone_count);
}

/// A pool filled with jobs of eight tasks, as at a peak; counts the jobs that the loss of a zone would hit.
class zone_loss_replay {
  public:
    zone_loss_replay(std::size_t vms, std::size_t jobs) {
        for (std::size_t i = 0; i < vms; ++i) {
            vm_info vm = scheduler_fixture::info("v" + std::to_string(i));
            vm.availability_zone = zone_name(i);
            m_pool.pool().add_or_update_vm(vm);
            m_pool.report(vm.incarnation, {});
        }
        // Eight tasks of six cores: two VMs of 32 cores.
        for (std::size_t i = 0; i < jobs; ++i) {
            m_pool.add_job("j" + std::to_string(i), {scheduler_fixture::step(8, 6000)});
            const bool is_ranked = m_used_vms.size() >= zone_count * min_used_vms_per_zone;
            for (const start_order& order : m_pool.start_all()) {
                ++m_tasks;
                m_used_vms.insert(order.vm);
                if (is_ranked) {
                    const std::string& zone = m_pool.pool().vms().at(order.vm).info().availability_zone;
                    m_jobs_of_zone[zone].insert(order.task.job);
                    m_running.insert(order.task.job);
                }
            }
        }
    }

    /// The largest share of the jobs begun with ranked zones that have a task in one zone.
    [[nodiscard]] double worst_loss() const {
        std::size_t most = 0;
        for (const auto& [zone, jobs] : m_jobs_of_zone) {
            most = std::max(most, jobs.size());
        }
        return static_cast<double>(most) / static_cast<double>(m_running.size());
    }
    [[nodiscard]] std::size_t tasks() const { return m_tasks; }
    [[nodiscard]] std::size_t used_vms() const { return m_used_vms.size(); }

  private:
    scheduler_fixture m_pool;
    std::map<std::string, std::set<std::string>> m_jobs_of_zone;
    std::set<std::string> m_running;
    std::set<std::string> m_used_vms;
    std::size_t m_tasks = 0;
};

zone_capacity zone(std::string name, std::uint32_t fitting, std::uint32_t beside, std::int64_t short_work,
                   std::uint32_t running = 0, bool holds_data = false) {
    return {std::move(name), holds_data, running, fitting, beside, short_work, min_used_vms_per_zone};
}

} // namespace

TEST_CASE("zones are ranked by the job's running tasks, by room and by work") {
    struct ranking_case {
        const char* what = "";
        std::vector<zone_capacity> zones;
        std::vector<std::string> order;
    };
    for (const ranking_case& item :
         {ranking_case{"the least work among zones with room for all",
                       {zone("a", 9, 0, 300), zone("b", 8, 0, 200), zone("c", 7, 7, 0)},
                       {"b", "a", "c"}},
          ranking_case{
              "VMs in use before empty ones", {zone("a", 9, 7, 100), zone("b", 9, 8, 200)}, {"b", "a"}},
          ranking_case{
              "where the job runs already", {zone("a", 20, 20, 0), zone("b", 1, 1, 900, 5)}, {"b", "a"}},
          ranking_case{
              "not where it runs without room", {zone("a", 20, 20, 0), zone("b", 0, 0, 900, 5)}, {"a", "b"}},
          ranking_case{"near its data", {zone("a", 20, 20, 0), zone("b", 1, 0, 900, 0, true)}, {"b", "a"}},
          ranking_case{"the most room if none has enough",
                       {zone("a", 3, 0, 0), zone("b", 5, 0, 900), zone("c", 4, 0, 0)},
                       {"b", "c", "a"}}}) {
        INFO(std::string(item.what));
        CHECK(rank_zones(item.zones, 8).zones() == item.order);
    }
}

// Guards against the loss of one zone in six that makes nearly every running job late.
TEST_CASE("the loss of a zone hits few of the running jobs, at every size and load") {
    struct loss_case {
        std::size_t vms = 0;
        std::size_t jobs = 0;
        double worst = 0;      ///< Upper bound of the share of jobs with a task in one zone.
        std::size_t tasks = 0; ///< That run: no capacity is left unused for it.
    };
    // A VM hosts five tasks. Full: as many jobs as fit.
    for (const loss_case& item :
         {loss_case{120, 60, 0.25, 480}, loss_case{120, 75, 0.34, 600}, loss_case{600, 120, 0.2, 960},
          loss_case{600, 375, 0.25, 3000}, loss_case{6000, 60, 0.2, 480}}) {
        CAPTURE(item.vms);
        CAPTURE(item.jobs);
        const zone_loss_replay replay(item.vms, item.jobs);
        CHECK(replay.worst_loss() <= item.worst);
        CHECK(replay.tasks() == item.tasks);
    }
}

// Guards against partly filled VMs in every zone of a pool that uses few VMs.
TEST_CASE("zones are not ranked while few VMs are in use") {
    std::vector<zone_capacity> zones{zone("a", 9, 0, 300), zone("b", 8, 0, 200)};
    zones[0].vms_in_use = 2 * min_used_vms_per_zone - 1;
    zones[1].vms_in_use = 0;
    CHECK(rank_zones(zones, 8).zones().empty());
    ++zones[1].vms_in_use;
    CHECK(rank_zones(zones, 8).zones().size() == zones.size());

    // 48 tasks, five on a VM.
    CHECK(zone_loss_replay(60, 6).used_vms() == 10);
}

// Guards against long-running tasks that a lost zone takes all at once.
TEST_CASE("long-lived tasks have no preferred zone") {
    scheduler_fixture pool;
    for (std::size_t i = 0; i < 12; ++i) {
        vm_info vm = scheduler_fixture::info("v" + std::to_string(i));
        vm.availability_zone = zone_name(i);
        pool.pool().add_or_update_vm(vm);
        pool.report(vm.incarnation, {});
    }
    step_spec step = scheduler_fixture::step(6);
    step.long_lived = true;
    step.max_per_vm = 1;
    pool.add_job("j", {step});
    std::set<std::string> zones;
    for (const start_order& order : pool.start_all()) {
        zones.insert(pool.pool().vms().at(order.vm).info().availability_zone);
    }
    CHECK(zones.size() > 1);
}
