#include "fakes/task_vm.hpp"

#include "platform/platform.hpp"
#include "platform/wire.hpp"

#include <algorithm>
#include <sstream>

namespace siskinpaddle::fakes {

namespace wire = platform::wire;

namespace {

constexpr milliseconds tick_interval = 10ms;
/// Offset of the VM's clock, since the nodes and a VM don't share a clock.
constexpr std::int64_t default_clock_base_ms = 77'000;
constexpr std::string_view crash_prefix = "crashes its VM: ";
constexpr std::string_view long_task_prefix = "takes long: ";

std::int64_t number(const boost::json::object& object, std::string_view key) {
    const boost::json::value* found = object.if_contains(key);
    return found == nullptr ? 0 : found->to_number<std::int64_t>();
}

std::string index_of(const std::string& task) {
    return task.substr(task.rfind('.') + 1);
}

/// Whether the payload makes this task crash its VM.
bool is_crash_payload(const std::string& payload, const std::string& task) {
    return payload.starts_with(crash_prefix) && payload.substr(crash_prefix.size()) == index_of(task);
}

/// The least time that the payload makes this task run.
milliseconds min_run_time(const std::string& payload, const std::string& task) {
    if (!payload.starts_with(long_task_prefix)) {
        return 0ms;
    }
    std::istringstream text(payload.substr(long_task_prefix.size()));
    std::string index;
    std::int64_t run_time_ms = 0;
    text >> index >> run_time_ms;
    return milliseconds(index == index_of(task) ? run_time_ms : 0);
}

} // namespace

std::string task_vm::crash_payload(std::uint32_t index) {
    std::ostringstream text;
    text << crash_prefix << index;
    return text.str();
}

std::string task_vm::long_task_payload(std::uint32_t index, milliseconds run_time) {
    std::ostringstream text;
    text << long_task_prefix << index << " " << run_time.count();
    return text.str();
}

task_vm::task_vm(event_loop& loop, std::string incarnation, milliseconds run_time)
    : m_loop(loop), m_incarnation(std::move(incarnation)), m_machine("m-" + m_incarnation),
      m_run_time(run_time),
      m_server(loop, {}, [this](const request_handle& request) { handle_request(request); }),
      m_timer(loop.make_timer([this] { tick(); })), m_clock_base_ms(default_clock_base_ms) {
    m_timer->start(tick_interval);
}

std::int64_t task_vm::clock_ms() const {
    return static_cast<std::int64_t>(static_cast<double>(event_loop::now().count()) * m_clock_rate) +
           m_clock_base_ms;
}

void task_vm::set_started(std::int64_t started_ms, std::int64_t clock_ms) {
    m_started_ms = started_ms;
    m_clock_base_ms =
        clock_ms - static_cast<std::int64_t>(static_cast<double>(event_loop::now().count()) * m_clock_rate);
}

std::string task_vm::registration(const std::string& pool, std::uint16_t port) const {
    jobs::vm_info info;
    info.incarnation = m_incarnation;
    info.machine = m_machine;
    info.pool = pool;
    info.address = "127.0.0.1";
    info.port = port;
    info.availability_zone = "z";
    info.kind = "a";
    info.rack = "r1";
    info.capacity = m_capacity;
    info.draining = m_draining;
    info.remaining_ms = m_draining ? 0 : -1;
    boost::json::object entry = boost::json::parse(platform::encode_vm(info)).as_object();
    if (m_started_ms > 0) {
        entry[wire::started] = m_started_ms;
    }
    return boost::json::serialize(entry);
}

void task_vm::reply(const request_handle& request, int code, boost::json::object body) const {
    http_headers headers;
    headers.add("Content-Type", "application/json");
    body[wire::clock] = clock_ms();
    request->reply(code, headers, boost::json::serialize(body));
}

void task_vm::handle_request(const request_handle& request) {
    if (m_silent) {
        m_unanswered.push_back(request);
        return;
    }
    const boost::json::object body = boost::json::parse(request->body()).as_object();
    if (withhold_answer(request, body)) {
        m_unanswered.push_back(request);
        return;
    }
    if (request->headers().get(wire::vm_id_header) != m_incarnation) {
        reply(request, 421, {});
        return;
    }
    if (number(body, wire::fencing_token) < m_fencing_token) {
        reply(request, 409, {{wire::reason, wire::fenced}});
        return;
    }
    m_fencing_token = number(body, wire::fencing_token);
    const std::string path(path_of_target(request->target()));
    if (path == wire::start_path) {
        start(request, body);
    } else if (path == wire::stop_path) {
        stop(request, body);
    } else {
        renew(request, body);
    }
}

/// Whether the call gets no answer. Counts the lost stops and late calls down, and stores a late call.
bool task_vm::withhold_answer(const request_handle& request, const boost::json::object& body) {
    const std::string path(path_of_target(request->target()));
    if (path == wire::stop_path && m_lost_stops > 0) {
        --m_lost_stops;
        return true;
    }
    const bool is_for_this_vm = request->headers().get(wire::vm_id_header) == m_incarnation;
    if (path == wire::start_path && m_late_starts > 0) {
        --m_late_starts;
        m_late_calls.push_back({path, body, event_loop::now() + m_start_delay});
        return true;
    }
    if (path == wire::renew_vm_lease_path && is_for_this_vm && m_late_renewals > 0) {
        --m_late_renewals;
        m_late_calls.push_back({path, body, event_loop::now() + m_renewal_delay});
        return true;
    }
    return path == wire::start_path && is_for_this_vm && leave_start_unanswered(body);
}

/// Returns false if the start is to be answered.
bool task_vm::leave_start_unanswered(const boost::json::object& body) {
    if (m_unanswered_one_in == 0 || ++m_received_starts % m_unanswered_one_in != 0) {
        return false;
    }
    enum class unanswered_start : std::uint8_t { executed, executed_late, lost };
    constexpr std::uint32_t turns = 3;
    const auto turn = static_cast<unanswered_start>(m_received_starts / m_unanswered_one_in % turns);
    if (turn == unanswered_start::executed) {
        m_late_calls.push_front({std::string(wire::start_path), body, event_loop::now()});
    } else if (turn == unanswered_start::executed_late) {
        m_late_calls.push_back({std::string(wire::start_path), body, event_loop::now() + m_unanswered_delay});
    }
    return true;
}

void task_vm::execute_late_calls() {
    const timestamp now = event_loop::now();
    for (auto item = m_late_calls.begin(); item != m_late_calls.end();) {
        if (item->due > now) {
            ++item;
            continue;
        }
        const late_call call = std::move(*item);
        item = m_late_calls.erase(item);
        if (number(call.body, wire::fencing_token) < m_fencing_token) {
            continue;
        }
        m_fencing_token = number(call.body, wire::fencing_token);
        if (call.path == wire::start_path) {
            start_run(call.body);
        } else {
            extend_lease(number(call.body, wire::deadline));
            acknowledge_ends(number(call.body, wire::acknowledged));
        }
    }
}

void task_vm::start(const request_handle& request, const boost::json::object& body) {
    if (const std::string_view refusal = start_run(body); !refusal.empty()) {
        reply(request, 409, {{wire::reason, refusal}});
        return;
    }
    reply(request, 200, {});
}

/// Returns the reason for a refusal; empty if the run has started.
std::string_view task_vm::start_run(const boost::json::object& body) {
    const std::string task(body.at(wire::task).as_string());
    const std::int64_t attempt = number(body, wire::attempt);
    if (number(body, wire::deadline) < clock_ms()) {
        return wire::deadline_passed;
    }
    extend_lease(number(body, wire::deadline));
    if (attempt <= m_highest_attempts[task]) {
        return wire::outdated_attempt;
    }
    m_highest_attempts[task] = attempt;
    const std::string payload(body.at(wire::payload).as_string());
    const bool long_lived = payload == long_lived_payload;
    if (is_crash_payload(payload, task)) {
        m_crashes_at = std::min(m_crashes_at.value_or(timestamp::max()), event_loop::now() + crash_delay);
    }
    m_runs.push_back({task,
                      attempt,
                      event_loop::now(),
                      timestamp(0),
                      {},
                      timestamp(0),
                      long_lived,
                      number(body, wire::fencing_token),
                      std::max(m_run_time, min_run_time(payload, task))});
    return {};
}

void task_vm::stop(const request_handle& request, const boost::json::object& body) {
    const std::string task(body.at(wire::task).as_string());
    const std::int64_t attempt = number(body, wire::attempt);
    m_highest_attempts[task] = std::max(m_highest_attempts[task], attempt);
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        if (m_runs[i].task == task && m_runs[i].attempt == attempt && m_runs[i].ended_at == timestamp(0)) {
            finish(i, "stopped");
        }
    }
    reply(request, 200, {});
}

void task_vm::extend_lease(std::int64_t deadline) {
    m_lease_until = std::max(m_lease_until, std::min(deadline, clock_ms() + m_max_lease.count()));
}

void task_vm::acknowledge_ends(std::int64_t sequence) {
    for (const ended_run& item : m_ends) {
        if (item.sequence <= sequence) {
            m_runs[item.run_index].acknowledged = event_loop::now();
        }
    }
    m_ends.remove_if([&](const ended_run& item) { return item.sequence <= sequence; });
}

void task_vm::renew(const request_handle& request, const boost::json::object& body) {
    extend_lease(number(body, wire::deadline));
    acknowledge_ends(number(body, wire::acknowledged));
    m_renewals.push_back({request, event_loop::now() + milliseconds(number(body, wire::wait))});
    answer_renewals();
}

boost::json::object task_vm::list_runs() const {
    boost::json::array running;
    for (const run_record& item : m_runs) {
        if (item.ended_at == timestamp(0)) {
            running.push_back(boost::json::array{item.task, item.attempt, "", 100, 0});
        }
    }
    boost::json::array finished;
    for (const ended_run& item : m_ends) {
        const run_record& run = m_runs[item.run_index];
        finished.push_back(boost::json::array{item.sequence, run.task, run.attempt, run.outcome, ""});
    }
    boost::json::object lists{{wire::running, std::move(running)}, {wire::ended, std::move(finished)}};
    if (m_started_ms > 0) {
        lists[wire::started] = m_started_ms;
    }
    return lists;
}

void task_vm::answer_renewals() {
    for (auto item = m_renewals.begin(); item != m_renewals.end();) {
        if (m_ends.empty() && event_loop::now() < item->until) {
            ++item;
            continue;
        }
        reply(item->request, 200, list_runs());
        item = m_renewals.erase(item);
    }
}

void task_vm::finish(std::size_t run_index, const char* outcome) {
    m_runs[run_index].ended_at = event_loop::now();
    m_runs[run_index].outcome = outcome;
    m_ends.push_back({m_next_end++, run_index});
}

/// Calls the crash handler once; its owner then ends this incarnation.
void task_vm::crash_if_due() {
    if (m_crashes_at && event_loop::now() >= *m_crashes_at && m_on_crash) {
        m_silent = true;
        std::exchange(m_on_crash, {})();
    }
}

void task_vm::tick() {
    m_timer->start(tick_interval);
    crash_if_due();
    execute_late_calls();
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        if (m_runs[i].ended_at != timestamp(0)) {
            continue;
        }
        if (clock_ms() > m_lease_until) {
            finish(i, "lapsed");
        } else if (m_failing) {
            finish(i, "failed");
        } else if (!m_runs[i].long_lived && event_loop::now() - m_runs[i].started_at >= m_runs[i].run_time) {
            finish(i, "done");
        }
    }
    if (!m_silent) {
        answer_renewals();
    }
}

} // namespace siskinpaddle::fakes
