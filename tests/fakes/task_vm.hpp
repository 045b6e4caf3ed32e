#pragma once

#include "jobs/jobs.hpp"
#include "net/net.hpp"

#include <boost/json.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace siskinpaddle::fakes {

/// Fake of one start of a VM that runs tasks, with leases, fencing tokens, attempt numbers, and ends that are
/// listed until they are acknowledged. Records all runs for the checks in tests. A VM that restarts is
/// another object.
class task_vm {
  public:
    /// A start or a renewal that the VM carries out without having answered it.
    struct late_call {
        std::string path;
        boost::json::object body;
        timestamp due{0};
    };

    /// A run as recorded by the VM.
    struct run_record {
        std::string task;
        std::int64_t attempt = 0;
        timestamp started_at{0};
        timestamp ended_at{0}; ///< 0: still running.
        std::string outcome;
        timestamp acknowledged{0}; ///< When the end was acknowledged; 0: not yet.
        bool long_lived = false;   ///< Runs until it is stopped.
        std::int64_t token = 0;    ///< Fencing token of its start.
        milliseconds run_time{0};  ///< How long the run takes if it isn't disturbed.
    };

    /// Payload of jobs whose tasks run until they are stopped.
    static constexpr std::string_view long_lived_payload = "runs until it is stopped";
    /// Payload of jobs whose task with this index crashes its VM `crash_delay` after the task has started.
    [[nodiscard]] static std::string crash_payload(std::uint32_t index);
    static constexpr milliseconds crash_delay{10};
    static constexpr milliseconds default_max_lease{6000};
    /// Payload of jobs whose task with this index runs for at least `run_time`.
    [[nodiscard]] static std::string long_task_payload(std::uint32_t index, milliseconds run_time);

    task_vm(event_loop& loop, std::string incarnation, milliseconds run_time);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    /// Value of the VM's registration in the platform's store.
    [[nodiscard]] std::string registration(const std::string& pool) const {
        return registration(pool, m_server.port());
    }
    /// As above, for a VM that is reached through another port.
    [[nodiscard]] std::string registration(const std::string& pool, std::uint16_t port) const;
    [[nodiscard]] const std::string& incarnation() const noexcept { return m_incarnation; }
    /// Makes the VM report the time of its start, ms since 1970, and lets its clock begin at `clock_ms`.
    void set_started(std::int64_t started_ms, std::int64_t clock_ms);
    [[nodiscard]] const std::vector<run_record>& runs() const noexcept { return m_runs; }

    /// While set, runs end as failed, including those already running.
    void set_failing(bool failing) { m_failing = failing; }
    /// Sets the longest lease that the VM grants; it shortens longer ones.
    void set_max_lease(milliseconds lease) noexcept { m_max_lease = lease; }
    /// Makes later registrations report that the VM drains.
    void set_draining() { m_draining = true; }
    /// Sets the capacity that the VM reports. The VM doesn't check its capacity before it starts a run.
    void set_capacity(const jobs::resources& capacity) { m_capacity = capacity; }
    [[nodiscard]] const jobs::resources& capacity() const noexcept { return m_capacity; }
    /// Sets the machine that the VM reports. The default name is derived from the incarnation.
    void set_machine(std::string machine) { m_machine = std::move(machine); }
    /// Sets a handler that is called once, when a task crashes the VM. The VM answers no calls from then on,
    /// and its owner must destroy it.
    void on_crash(std::function<void()> handler) { m_on_crash = std::move(handler); }

    /// While set, answers no calls. Runs continue until the lease expires.
    void set_silent(bool silent) { m_silent = silent; }
    /// Neither executes nor answers the next `stops` stops.
    void lose_stops(int stops) { m_lost_stops = stops; }
    /// Number of stops that are still to be lost.
    [[nodiscard]] int remaining_lost_stops() const noexcept { return m_lost_stops; }
    /// Executes the next `starts` starts after `delay`, if they are still valid then, without answering them.
    void delay_starts(int starts, milliseconds delay) {
        m_late_starts = starts;
        m_start_delay = delay;
    }
    /// While `one_in` isn't 0, leaves one start in so many unanswered: it executes them at once, after
    /// `delay` or not at all, by turns.
    void leave_starts_unanswered(std::uint32_t one_in, milliseconds delay) {
        m_unanswered_one_in = one_in;
        m_unanswered_delay = delay;
    }
    /// Executes the next `renewals` renewals after `delay` without answering them.
    void delay_renewals(int renewals, milliseconds delay) {
        m_late_renewals = renewals;
        m_renewal_delay = delay;
    }
    /// Number of delayed calls that are still pending.
    [[nodiscard]] std::size_t pending_late_calls() const noexcept { return m_late_calls.size(); }
    /// Passes the delayed calls on to the next start of the VM, which the platform lets carry them out.
    [[nodiscard]] std::list<late_call> take_late_calls() { return std::exchange(m_late_calls, {}); }
    void add_late_calls(std::list<late_call> calls) { m_late_calls.splice(m_late_calls.end(), calls); }
    /// Sets the rate of the VM's clock relative to the clock of the tests.
    void set_clock_rate(double rate) noexcept { m_clock_rate = rate; }

  private:
    using request_handle = std::shared_ptr<server_request>;
    struct pending_renewal {
        request_handle request;
        timestamp until{0};
    };
    struct ended_run {
        std::int64_t sequence = 0;
        std::size_t run_index = 0; ///< Index in m_runs.
    };

    void handle_request(const request_handle& request);
    void start(const request_handle& request, const boost::json::object& body);
    std::string_view start_run(const boost::json::object& body);
    [[nodiscard]] bool leave_start_unanswered(const boost::json::object& body);
    [[nodiscard]] bool withhold_answer(const request_handle& request, const boost::json::object& body);
    void execute_late_calls();
    void stop(const request_handle& request, const boost::json::object& body);
    void renew(const request_handle& request, const boost::json::object& body);
    void extend_lease(std::int64_t deadline);
    void acknowledge_ends(std::int64_t sequence);
    void answer_renewals();
    void finish(std::size_t run_index, const char* outcome);
    void tick();
    void crash_if_due();
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] boost::json::object list_runs() const;
    void reply(const request_handle& request, int code, boost::json::object body) const;

    event_loop& m_loop;
    std::string m_incarnation;
    std::string m_machine;
    milliseconds m_run_time;
    jobs::resources m_capacity{4000, 8192, 0};
    http_server m_server;
    std::unique_ptr<timer> m_timer;
    std::vector<run_record> m_runs;
    std::map<std::string, std::int64_t> m_highest_attempts; ///< Highest attempt started or stopped, by task.
    std::list<ended_run> m_ends;
    std::list<pending_renewal> m_renewals;
    std::vector<request_handle> m_unanswered;
    std::list<late_call> m_late_calls;
    int m_lost_stops = 0;
    int m_late_starts = 0;
    milliseconds m_start_delay{0};
    int m_late_renewals = 0;
    milliseconds m_renewal_delay{0};
    std::uint32_t m_unanswered_one_in = 0;
    milliseconds m_unanswered_delay{0};
    std::uint32_t m_received_starts = 0; ///< Starts received while some are left unanswered.
    std::int64_t m_fencing_token = 0;
    std::int64_t m_lease_until = 0;
    milliseconds m_max_lease = default_max_lease;
    std::int64_t m_next_end = 1;
    bool m_silent = false;
    bool m_failing = false;
    bool m_draining = false;
    double m_clock_rate = 1;
    std::int64_t m_started_ms = 0; ///< 0: the VM doesn't report it.
    std::int64_t m_clock_base_ms;  ///< Reading of the VM's clock when the test's clock was 0.
    std::optional<timestamp> m_crashes_at;
    std::function<void()> m_on_crash;
};

} // namespace siskinpaddle::fakes
