#pragma once

#include "jobs/scheduler_fixture.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// Replays a demand peak on a pool's scheduler in steps of 100 ms: clients submit jobs of eight tasks of one
/// second, the scheduler accepts or refuses each, and VMs of 32 cores run the started tasks. Results count
/// from a client's first attempt.
class demand_peak_replay {
  public:
    /// Counts of submitted jobs by result.
    struct result {
        int submitted = 0;
        int in_time = 0;  ///< Done within 1.6 times their one second of work plus 600 ms.
        int late = 0;     ///< Done within three times that: still useful.
        int too_late = 0; ///< Done later, or never.
    };

    demand_peak_replay() {
        add_vm("v1");
        add_vm("v2");
    }

    scheduler_fixture& fixture() { return m_fixture; }

    void add_vm(const std::string& name) {
        m_fixture.add_vm(name);
        m_vms.push_back(name);
    }

    /// Advances by one step in which `jobs` jobs are submitted.
    void advance(int jobs) {
        m_fixture.advance_clock(100ms);
        submit_again();
        for (int i = 0; i < jobs; ++i) {
            submit("j" + std::to_string(m_result.submitted++));
        }
        for (const std::string& vm : m_vms) {
            report(vm);
        }
        m_fixture.store_changes();
        for (const start_order& order : m_fixture.start_all()) {
            m_running.emplace_back(m_fixture.now(), order);
        }
        record_completed();
    }

    /// Results so far; accepted jobs that are not done count as too late.
    [[nodiscard]] result results() const {
        result present = m_result;
        present.too_late += static_cast<int>(m_accepted.size());
        return present;
    }
    [[nodiscard]] int refused() const { return m_refused; }

    /// Lets refused clients return when they are told to, `attempts` attempts each in all.
    void let_clients_return(int attempts) { m_max_attempts = attempts; }
    /// Takes each attempt for the first, and tells all the delay that admission names.
    void ignore_first_attempts() { m_counts_first_attempts = false; }
    /// Second -> jobs that were promised room and returned in it.
    [[nodiscard]] const std::map<std::int64_t, int>& promised_returns() const { return m_promised_returns; }

  private:
    struct returning_client {
        std::string job;
        timestamp at{0};
        bool has_room = false;
    };

    static constexpr milliseconds objective = 2200ms;

    void submit_again() {
        std::vector<returning_client> due;
        std::erase_if(m_returning, [&](const returning_client& client) {
            if (client.at > m_fixture.now()) {
                return false;
            }
            due.push_back(client);
            return true;
        });
        for (const returning_client& client : due) {
            m_promised_returns[client.at / 1s] += client.has_room ? 1 : 0;
            submit(client.job);
        }
    }

    void submit(const std::string& id) {
        const timestamp now = m_fixture.now();
        const timestamp first = m_first_sends.try_emplace(id, now).first->second;
        const job_record record = scheduler_fixture::record(id, {scheduler_fixture::step(8)});
        const milliseconds waited = m_counts_first_attempts ? m_first_attempts.waited(id, now) : 0ms;
        m_returns.drop(id);
        const admission_verdict verdict = m_fixture.pool().check_admission(record.spec, {}, waited);
        if (verdict.accepted) {
            m_fixture.pool().add_job(record, now - waited);
            m_accepted[id] = first;
            return;
        }
        ++m_refused;
        const return_time back =
            m_returns.schedule(m_fixture.pool().describe_refused(record.spec, verdict.objective, waited),
                               m_fixture.pool().expected_room(), now);
        m_first_attempts.record_refusal(id, now + useful_time(verdict.objective) + back.retry_after, now);
        if (++m_attempts[id] < m_max_attempts) {
            m_returning.push_back(
                {id, now + (m_counts_first_attempts ? back : return_time{verdict.retry_after}).retry_after,
                 back.has_room});
        }
    }

    void report(const std::string& vm) {
        std::vector<running_report> alive;
        std::vector<end_report> ended;
        std::erase_if(m_running, [&](const auto& item) {
            const auto& [began, order] = item;
            if (order.vm != vm) {
                return false;
            }
            if (m_fixture.now() - began < 1000ms) {
                alive.push_back(scheduler_fixture::running(order));
                return false;
            }
            ended.push_back(scheduler_fixture::end(++m_sequences[vm], order, run_end::done));
            return true;
        });
        m_fixture.report(vm, alive, ended);
    }

    void record_completed() {
        std::erase_if(m_accepted, [&](const auto& item) {
            if (m_fixture.pool().phase_of(item.first) != job_phase::completed) {
                return false;
            }
            const milliseconds took = m_fixture.now() - item.second;
            ++(took <= objective       ? m_result.in_time
               : took <= 3 * objective ? m_result.late
                                       : m_result.too_late);
            return true;
        });
    }

    scheduler_fixture m_fixture;
    std::vector<std::string> m_vms;
    std::map<std::string, timestamp> m_accepted; ///< Jobs not done yet -> when first sent.
    std::vector<std::pair<timestamp, start_order>> m_running;
    std::map<std::string, std::int64_t> m_sequences; ///< VM -> sequence number of its latest run end.
    result m_result;
    int m_refused = 0;
    int m_max_attempts = 1;
    bool m_counts_first_attempts = true;
    first_attempts m_first_attempts;
    return_schedule m_returns;
    std::vector<returning_client> m_returning;
    std::map<std::string, timestamp> m_first_sends; ///< By job.
    std::map<std::string, int> m_attempts;          ///< Refused attempts by job.
    std::map<std::int64_t, int> m_promised_returns; ///< By second.
};

} // namespace siskinpaddle::tests
