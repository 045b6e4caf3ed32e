#pragma once

#include "jobs/scheduler_fixture.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// Replays client accounts that compete for a pool of 64 cores in steps of 100 ms. Each job has two tasks of
/// one core and one second, so the pool does 32 jobs a second. The accounts are submitted for in their order,
/// the first one first.
class account_replay {
  public:
    static constexpr std::size_t account_count = 4;
    /// Jobs a second of each account.
    using rates = std::array<double, account_count>;

    /// Counts of one account's jobs by result.
    struct result {
        int submitted = 0;
        int refused = 0;
        int refused_as_surplus = 0;
        int in_time = 0;
        int late = 0;
    };

    explicit account_replay(std::uint32_t epoch = 0) : m_fixture(epoch) {
        for (const char* vm : {"v1", "v2"}) {
            m_fixture.add_vm(vm);
        }
    }

    static std::string name_of_account(std::size_t index) {
        return std::string(1, static_cast<char>('a' + index));
    }
    scheduler_fixture& fixture() { return m_fixture; }
    scheduler& pool() { return m_fixture.pool(); }

    void set_weights(const rates& weights) {
        std::map<std::string, double> by_name;
        for (std::size_t i = 0; i < account_count; ++i) {
            by_name[name_of_account(i)] = weights.at(i);
        }
        pool().shares().set_weights(std::move(by_name));
    }

    void advance(milliseconds time, const rates& jobs_per_second) {
        for (milliseconds passed = 0ms; passed < time; passed += interval) {
            advance_once(jobs_per_second);
        }
    }

    /// Results since the last call.
    std::array<result, account_count> take_results() { return std::exchange(m_results, {}); }

  private:
    static constexpr milliseconds interval = 100ms;
    static constexpr milliseconds objective = 2200ms;

    struct accepted_job {
        std::size_t account = 0;
        timestamp at{0};
    };

    void advance_once(const rates& jobs_per_second) {
        m_fixture.advance_clock(interval);
        for (std::size_t i = 0; i < account_count; ++i) {
            m_due.at(i) += jobs_per_second.at(i) * static_cast<double>(interval.count()) / 1000;
            for (; m_due.at(i) >= 1; m_due.at(i) -= 1) {
                submit(i);
            }
        }
        report("v1");
        report("v2");
        m_fixture.store_changes();
        for (const start_order& order : m_fixture.start_all()) {
            m_running.emplace_back(m_fixture.now(), order);
        }
        record_completed();
    }

    void submit(std::size_t account) {
        const std::string name = name_of_account(account);
        job_record record =
            scheduler_fixture::record(name + std::to_string(m_next_job++), {scheduler_fixture::step(2)});
        record.account = name;
        result& counts = m_results.at(account);
        ++counts.submitted;
        pool().record_job_arrival(record.spec, m_fixture.now(), name);
        const admission_verdict verdict = pool().check_admission(record.spec, name);
        pool().record_verdict(record.spec, name, verdict);
        if (!verdict.accepted) {
            ++counts.refused;
            counts.refused_as_surplus += verdict.is_surplus ? 1 : 0;
            return;
        }
        pool().add_job(record, m_fixture.now());
        m_accepted[record.spec.id] = {account, m_fixture.now()};
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
            if (pool().phase_of(item.first) != job_phase::completed) {
                return false;
            }
            result& counts = m_results.at(item.second.account);
            ++(m_fixture.now() - item.second.at <= objective ? counts.in_time : counts.late);
            return true;
        });
    }

    scheduler_fixture m_fixture;
    rates m_due{}; ///< Fractions of jobs that are not submitted yet.
    int m_next_job = 0;
    std::map<std::string, accepted_job> m_accepted; ///< Jobs that are not done yet.
    std::vector<std::pair<timestamp, start_order>> m_running;
    std::map<std::string, std::int64_t> m_sequences; ///< VM -> sequence number of its latest run end.
    std::array<result, account_count> m_results{};
};

} // namespace siskinpaddle::tests
