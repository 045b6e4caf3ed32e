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
#include <vector>

namespace siskinpaddle::fakes {

/// Stand-in of one VM that runs tasks: leases, fencing tokens, attempt numbers, ends that are listed until
/// they are acknowledged. It keeps its own record of all runs, for the tests' checks. One life; a VM that
/// restarts is another object.
class task_vm {
  public:
    /// A run as the VM saw it.
    struct run_record {
        std::string task;
        std::int64_t attempt = 0;
        timestamp started_at{0};
        timestamp ended_at{0}; ///< 0: it goes on.
        std::string outcome;
        timestamp acknowledged{0};      ///< When its end was acknowledged; 0: it was not.
        bool long_running = false;      ///< It runs until it is stopped.
        std::int64_t fencing_token = 0; ///< Fencing token of its start.
    };

    /// Tasks of jobs with this payload don't end by themselves.
    static constexpr std::string_view long_running_payload = "runs until it is stopped";
    /// With this payload the job's tasks of this index crash their VM a moment after they have begun.
    [[nodiscard]] static std::string crash_payload(std::uint32_t index);
    static constexpr milliseconds crash_delay{10};

    task_vm(event_loop& loop, std::string incarnation, milliseconds run_time);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    /// Its entry in the platform's directory.
    [[nodiscard]] std::string registration(const std::string& pool) const {
        return registration(pool, m_server.port());
    }
    /// The same for a VM that is reached through another port.
    [[nodiscard]] std::string registration(const std::string& pool, std::uint16_t port) const;
    [[nodiscard]] const std::string& incarnation() const noexcept { return m_incarnation; }
    [[nodiscard]] const std::vector<run_record>& runs() const noexcept { return m_runs; }

    /// All runs end as failed, those that go on at once.
    void set_failing(bool failing) { m_failing = failing; }
    /// It says that it will leave.
    void set_draining() { m_draining = true; }
    /// What it says that it has room for. It starts whatever it is told to.
    void set_capacity(const jobs::resources& capacity) { m_capacity = capacity; }
    [[nodiscard]] const jobs::resources& capacity() const noexcept { return m_capacity; }
    /// The machine that it says it runs on; its own name otherwise.
    void set_machine(std::string machine) { m_machine = std::move(machine); }
    /// Called once when a task crashes the VM. It answers nothing from then on, and is to be destroyed.
    void on_crash(std::function<void()> handler) { m_on_crash = std::move(handler); }

    /// Answers nothing more; what runs goes on until its lease ends.
    void set_silent(bool silent) { m_silent = silent; }
    /// Neither carries the next so many stops out nor answers them.
    void lose_stops(int stops) { m_lost_stops = stops; }
    /// Stops that are still to be lost.
    [[nodiscard]] int remaining_lost_stops() const noexcept { return m_lost_stops; }
    /// Answers none of the next so many starts and carries them out after `delay`, if they still hold then.
    void delay_starts(int starts, milliseconds delay) {
        m_late_starts = starts;
        m_start_delay = delay;
    }
    /// Starts that have come and are still to be carried out.
    [[nodiscard]] std::size_t pending_late_starts() const noexcept { return m_late_orders.size(); }
    /// How fast its clock runs against ours.
    void set_clock_rate(double rate) noexcept { m_clock_rate = rate; }

  private:
    using request_handle = std::shared_ptr<server_request>;
    struct pending_renewal {
        request_handle request;
        timestamp until{0};
    };
    struct late_start {
        boost::json::object body;
        timestamp due{0};
    };
    struct ended_run {
        std::int64_t sequence = 0;
        std::size_t run_index = 0; ///< Position in m_runs.
    };

    void handle_request(const request_handle& request);
    void start(const request_handle& request, const boost::json::object& body);
    std::string_view start_run(const boost::json::object& body);
    [[nodiscard]] bool withhold_answer(const request_handle& request, const boost::json::object& body);
    void start_late_runs();
    void stop(const request_handle& request, const boost::json::object& body);
    void renew(const request_handle& request, const boost::json::object& body);
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
    std::map<std::string, std::int64_t>
        m_highest_attempts; ///< Task -> highest attempt that was there or was stopped.
    std::list<ended_run> m_ends;
    std::list<pending_renewal> m_renewals;
    std::vector<request_handle> m_unanswered;
    std::list<late_start> m_late_orders;
    int m_lost_stops = 0;
    int m_late_starts = 0;
    milliseconds m_start_delay{0};
    std::int64_t m_fencing_token = 0;
    std::int64_t m_lease_until = 0;
    std::int64_t m_next_end = 1;
    bool m_silent = false;
    bool m_failing = false;
    bool m_draining = false;
    double m_clock_rate = 1;
    std::optional<timestamp> m_crashes_at;
    std::function<void()> m_on_crash;
};

} // namespace siskinpaddle::fakes
