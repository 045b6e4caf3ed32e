#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Interval between decisions when no event triggers one: for expired leases and for stops to repeat.
constexpr milliseconds decide_interval = 200ms;
constexpr milliseconds load_interval = 1s;
/// Most runs that a log line lists.
constexpr std::size_t max_runs_per_line = 12;
/// Interval at which a watch is restarted; an unresponsive connection is detected within it.
constexpr milliseconds inbox_watch_interval = 1200ms;

/// Upper limit of a VM's lease. Long enough that runs outlive a change of their owner (a lease of two
/// seconds, plus the time that a renewal waits). Not longer, since the runs of an unresponsive VM start
/// elsewhere only when its lease has expired, and a successor waits for unresponsive VMs that long plus four
/// seconds: 10.7 s, below the 12 s within which a restarted system has to serve again. With leases of ten
/// seconds it would be 14.8 s.
constexpr milliseconds max_lease = 6s;

/// Transfer time on the link that the starts in flight may use: answers, lease renewals and writes to the
/// store share the link, and have timeouts of 0.7 s and more.
constexpr milliseconds max_start_link_time = 125ms;

/// Longest time between the beginnings of two calls to an unresponsive VM: the timeout of a call without a
/// wait, and the pause before it is repeated.
constexpr milliseconds max_vm_call_interval = 1500ms;

std::size_t bytes_in(milliseconds time, double mbps) {
    constexpr double bytes_per_ms_of_mbps = 125;
    return static_cast<std::size_t>(static_cast<double>(time.count()) * mbps * bytes_per_ms_of_mbps);
}

jobs::scheduler_settings scheduler_settings_for(const node_settings& settings) {
    jobs::scheduler_settings result;
    result.lease = std::min(settings.vm_lease, max_lease);
    result.max_vm_lease = settings.vm_lease;
    // The previous owner acts for a while past its lease and grants full leases until then; VM clocks may run
    // slow.
    result.takeover_timeout = membership_task::grace_after_lease +
                              std::chrono::duration_cast<milliseconds>(result.lease * 1.03) + 500ms;
    result.max_stop_time = settings.stop_time;
    result.starts.max_bytes_in_flight = bytes_in(max_start_link_time, settings.link_mbps);
    return result;
}

} // namespace

pool_task::pool_task(context parts, std::string pool, const ownership& held)
    : m_context(parts), m_pool(std::move(pool)), m_ownership(held),
      m_scheduler(scheduler_settings_for(parts.settings), held.epoch, event_loop::now()),
      m_allowances(parts.loop, parts.store, m_pool,
                   {[this] { return owner_condition(); }, [this] { schedule_decision(); },
                    [this](std::int64_t token) { on_ownership_lost("allowances", token); }}),
      m_directory(parts.loop, parts.store,
                  [this](const std::string& vm, const std::optional<jobs::vm_info>& info) {
                      if (m_ready) {
                          on_vm_changed(vm, info);
                      }
                  }),
      m_inbox_cancels(parts.loop, parts.store, cancel_key(m_pool, ""), inbox_watch_interval,
                      [this](const platform::store_item& item) { process_inbox_cancel(item); }),
      m_inbox(parts.loop, parts.store, submit_key(m_pool, ""), inbox_watch_interval,
              [this](const platform::store_item& item) { process_inbox_submit(item); }),
      m_vm_record_timer(parts.loop.make_timer([this] { write_vm_record(); })),
      m_unresponsive_timer(parts.loop.make_timer([this] { check_unresponsive_vms(); })),
      m_decision_timer(parts.loop.make_timer([this] { decide(); })),
      m_submit_timer(parts.loop.make_timer([this] {
          m_writing_submits = false;
          write_submits();
      })),
      m_inbox_timer(parts.loop.make_timer([this] { transfer_inbox_jobs(); })),
      m_store_timer(parts.loop.make_timer([this] { store_changes(); })),
      m_load_retry_timer(parts.loop.make_timer([this] { std::exchange(m_load_retry_step, {})(); })) {}

void pool_task::renew_token(const ownership& held) {
    m_ownership = held;
    m_ownership_lost = false;
    m_inbox_timer->start(0ms);
    write_submits();
    schedule_decision();
}

void pool_task::refresh() {
    if (m_ready) {
        m_directory.refresh();
        m_inbox_cancels.refresh();
        m_inbox.refresh();
    }
}

void pool_task::configure(const jobs::fleet_configuration& configuration) {
    m_scheduler.configure(jobs::queues_of_pool(m_context.records.find(m_pool).record, configuration, m_pool));
    const jobs::pool_settings* pool = configuration.find_pool(m_pool);
    m_vms_check_capacity = pool == nullptr || pool->vms_check_capacity;
    m_allowances.configure(configuration, m_context.records.pools_to_own(configuration).size());
    place_restored_jobs();
    schedule_decision();
}

// --- Decisions ---

bool pool_task::may_act() const {
    return m_ready && !m_ownership_lost &&
           event_loop::now() < m_context.membership.act_until(m_ownership.duty);
}

void pool_task::schedule_decision() {
    if (m_decision_scheduled) {
        return;
    }
    m_decision_scheduled = true;
    m_decision_timer->start(milliseconds(0));
}

void pool_task::decide() {
    m_decision_scheduled = false;
    if (!m_ready) {
        return;
    }
    m_decision_timer->start(decide_interval);
    const bool acting = may_act() && !m_shutting_down;
    if (acting != m_was_acting) {
        m_was_acting = acting;
        log_event(
            acting ? event_id::pool_resumed : event_id::pool_paused,
            {{"pool", m_pool}, {"token", m_ownership.token}, {"lost", static_cast<int>(m_ownership_lost)}});
    }
    if (!acting) {
        return;
    }
    const timestamp now = event_loop::now();
    const bool capacity_known = now - m_directory.complete_until() <= m_context.settings.max_capacity_age;
    m_scheduler.hold_starts(!m_vms_check_capacity && !capacity_known);
    apply_ceilings(now);
    jobs::owner_view self;
    self.wall_ms = wall_clock_ms();
    self.ownership_confirmed = now < m_context.membership.confirmed_until(m_ownership.duty);
    self.hears_answers = now - m_context.membership.last_late_answer_at() >= max_vm_call_interval;
    const jobs::decisions wanted = m_scheduler.decide(now, self);
    log_decisions(wanted);
    for (const jobs::stop_order& order : wanted.stops) {
        send_stop(order);
    }
    for (const jobs::start_order& order : wanted.starts) {
        send_start(order);
    }
    for (const jobs::pace_order& order : wanted.paces) {
        send_pace(order);
    }
    for (const jobs::advice_request& question : wanted.advice_requests) {
        request_advice(question);
    }
    if (m_scheduler.has_changes()) {
        schedule_store();
    }
    if (wanted.next_overdue_start && !m_decision_scheduled) {
        m_decision_timer->start(
            std::clamp<milliseconds>(*wanted.next_overdue_start - now, 1ms, decide_interval));
    }
    update_allowances(now);
    review_vm_record();
    run_cleanup();
    log_load(now);
}

void pool_task::log_load(timestamp now) {
    const jobs::pool_load load = m_scheduler.load();
    if (now - m_load_logged_at < load_interval || m_scheduler.job_count() == 0) {
        return;
    }
    m_load_logged_at = now;
    const std::int64_t committed = m_scheduler.committed_millicores(load, now);
    log_event(event_id::pool_load, {{"pool", m_pool},
                                    {"vms", load.usable_vms},
                                    {"usable_cores", load.usable_millicores / 1000},
                                    {"used_cores", load.used_millicores / 1000},
                                    {"wanted_cores", load.wanted_millicores() / 1000},
                                    {"committed_cores", committed / 1000},
                                    {"late_cores", load.late_millicores() / 1000},
                                    {"sustained_cores", load.sustained_millicores.value_or(0) / 1000},
                                    {"limited", m_scheduler.accounts().limited().size()},
                                    {"waiting_ms", load.queue_wait().count()},
                                    {"jobs", m_scheduler.job_count()},
                                    {"inbox", inbox_jobs()},
                                    {"inbox_age_ms", inbox_age().count()}});
}

/// Logs one line for each step with placed tasks, for each note, for each VM that ended while it was in use,
/// and for each change of a suspicion level.
void pool_task::log_decisions(const jobs::decisions& wanted) const {
    for (std::size_t i = 0; i < wanted.starts.size();) {
        const jobs::task_id& first = wanted.starts[i].task;
        std::string placed;
        for (; i < wanted.starts.size(); ++i) {
            const jobs::start_order& order = wanted.starts[i];
            if (order.task.job != first.job || order.task.step != first.step ||
                order.task.occurrence != first.occurrence) {
                break;
            }
            placed += (placed.empty() ? "" : ",") + std::to_string(order.task.index) + "#" +
                      std::to_string(order.attempt) + "@" + order.vm;
        }
        log_event(event_id::step_started, {{"pool", m_pool},
                                           {"job", first.job},
                                           {"occurrence", first.occurrence},
                                           {"step", first.step},
                                           {"runs", placed},
                                           {"token", m_ownership.token}});
    }
    for (const jobs::scheduler_note& note : wanted.notes) {
        log_event(event_id::run_noted,
                  {{"pool", m_pool},
                   {"what", note.what},
                   {"vm", note.vm},
                   {"task", note.task ? platform::encode_task(*note.task) : std::string("-")},
                   {"attempt", note.attempt}});
    }
    for (const jobs::settled_start& item : wanted.settled_starts) {
        log_settled_start(item);
    }
    for (const jobs::vm_end& end : wanted.ended_vms) {
        log_vm_end(end);
    }
    for (const jobs::suspicion_change& change : wanted.suspicion_changes) {
        log_suspicion(change);
    }
}

void pool_task::log_settled_start(const jobs::settled_start& item) const {
    m_context.counters.increment("starts_settled_early");
    log_event(event_id::start_settled, {{"pool", m_pool},
                                        {"vm", item.vm},
                                        {"task", platform::encode_task(item.task)},
                                        {"attempt", item.attempt},
                                        {"waited_ms", item.waited.count()},
                                        {"limit_ms", item.limit.count()},
                                        {"answer_ms", item.answer_time.count()}});
}

void pool_task::log_suspicion(const jobs::suspicion_change& change) const {
    m_context.counters.increment("suspicions_" + std::string(name_of(change.level)));
    std::string evidence;
    for (const jobs::crash_evidence& item : change.evidence) {
        evidence += (evidence.empty() ? "" : ",") + item.vm + ":" + std::string(name_of(item.kind)) + ":" +
                    std::string(name_of(item.certainty)) + "+" + std::to_string(item.age_ms);
    }
    event_id event = event_id::task_suspected;
    if (change.level == jobs::suspicion::none) {
        event = event_id::task_cleared;
    } else if (change.level == jobs::suspicion::given_up) {
        event = event_id::task_given_up;
    }
    log_event(event, {{"pool", m_pool},
                      {"task", platform::encode_task(change.task)},
                      {"level", name_of(change.level)},
                      {"why", change.reason},
                      {"evidence", evidence.empty() ? std::string("-") : evidence}});
}

std::string pool_task::describe_runs(std::span<const jobs::ended_run> runs) {
    std::string text;
    for (const jobs::ended_run& item : runs.first(std::min(runs.size(), max_runs_per_line))) {
        text += (text.empty() ? "" : ",") + platform::encode_task(item.task) + "#" +
                std::to_string(item.attempt) + "+" + std::to_string(item.age.count()) +
                (item.confirmed ? "" : "?");
    }
    return text.empty() ? "-" : text;
}

void pool_task::log_vm_end(const jobs::vm_end& end) const {
    m_context.counters.increment("vm_ends_" + std::string(name_of(end.cause)));
    log_event(event_id::vm_ended, {{"pool", m_pool},
                                   {"vm", end.vm},
                                   {"machine", end.machine},
                                   {"cause", name_of(end.cause)},
                                   {"draining", static_cast<int>(end.draining)},
                                   {"silent_ms", (event_loop::now() - end.unresponsive_since).count()},
                                   {"count", end.runs.size()},
                                   {"clock_ms", end.clock_ms},
                                   {"deadline_ms", end.granted_deadline},
                                   {"runs", describe_runs(end.runs)}});
}

void pool_task::check_order_answer(const std::string& vm, jobs::order_outcome outcome, const char* order,
                                   const jobs::task_id& task, std::uint32_t attempt,
                                   const call_tokens& tokens) {
    m_context.counters.increment("orders_" + std::string(order) + "_" + std::string(name_of(outcome)));
    if (outcome == jobs::order_outcome::accepted) {
        return;
    }
    log_event(event_id::run_refused, {{"pool", m_pool},
                                      {"order", order},
                                      {"vm", vm},
                                      {"task", platform::encode_task(task)},
                                      {"attempt", attempt},
                                      {"outcome", name_of(outcome)}});
    if (outcome == jobs::order_outcome::wrong_incarnation) {
        m_scheduler.handle_vm_ended(vm, jobs::vm_end_cause::replaced, event_loop::now());
    } else if (outcome == jobs::order_outcome::not_sent) {
        m_scheduler.handle_vm_unreachable(vm, event_loop::now());
    } else if (outcome == jobs::order_outcome::refused_fenced) {
        on_fence_refusal(vm, tokens);
    }
}

void pool_task::send_start(const jobs::start_order& order) {
    const auto vm = m_scheduler.vms().find(order.vm);
    const jobs::job_state* job = m_scheduler.find_job(order.task.job);
    const call_tokens tokens = tokens_for(order.vm);
    m_context.vms.start_run(
        vm->second.info(), tokens.vm, order, job->spec().payload,
        [this, order, tokens, alive = m_lifetime.weak_token()](const platform::order_answer& answer) {
            if (alive.expired()) {
                return;
            }
            m_scheduler.handle_start_answer(order, answer.outcome, answer.clock_ms, event_loop::now());
            check_order_answer(order.vm, answer.outcome, "start", order.task, order.attempt, tokens);
            if (answer.outcome != jobs::order_outcome::accepted || m_scheduler.can_start_more()) {
                schedule_decision();
            }
        });
}

void pool_task::send_stop(const jobs::stop_order& order) {
    const auto vm = m_scheduler.vms().find(order.vm);
    if (vm == m_scheduler.vms().end()) {
        return;
    }
    const call_tokens tokens = tokens_for(order.vm);
    m_context.vms.stop_run(
        vm->second.info(), tokens.vm, order,
        [this, order, tokens, alive = m_lifetime.weak_token()](const platform::order_answer& answer) {
            if (alive.expired()) {
                return;
            }
            if (m_scheduler.handle_stop_answer(order, answer.outcome, answer.clock_ms, event_loop::now())) {
                schedule_report(order.vm);
            }
            check_order_answer(order.vm, answer.outcome, "stop", order.task, order.attempt, tokens);
        });
}

void pool_task::send_pace(const jobs::pace_order& order) {
    const auto vm = m_scheduler.vms().find(order.vm);
    if (vm == m_scheduler.vms().end()) {
        return;
    }
    const call_tokens tokens = tokens_for(order.vm);
    m_context.vms.set_pace(
        vm->second.info(), tokens.vm, order,
        [this, order, tokens, alive = m_lifetime.weak_token()](const platform::order_answer& answer) {
            if (!alive.expired()) {
                check_order_answer(order.vm, answer.outcome, "pace", order.task, order.attempt, tokens);
            }
        });
}

void pool_task::request_advice(const jobs::advice_request& question) {
    m_context.counters.increment("advice_questions");
    m_context.advice.request_advice(
        question, [this, question, alive = m_lifetime.weak_token()](const jobs::advice_answer& answer) {
            if (alive.expired()) {
                return;
            }
            log_event(event_id::advice_answered, {{"pool", m_pool},
                                                  {"job", question.job},
                                                  {"step", question.step},
                                                  {"asked", question.vms.size()},
                                                  {"approved", answer.tickets.size()},
                                                  {"good", static_cast<int>(answer.succeeded)}});
            m_scheduler.handle_advice_answer(question, answer, event_loop::now());
            schedule_decision();
        });
}

void pool_task::on_ownership_lost(const char* found_by, std::int64_t token) {
    // A request that was sent under an earlier token of this node fails as well; that does not affect the
    // current token.
    if (!m_ownership_lost && token == m_ownership.token) {
        m_ownership_lost = true;
        log_event(event_id::duty_lost,
                  {{"duty", m_ownership.duty}, {"token", m_ownership.token}, {"found_by", found_by}});
    }
}

platform::store_condition pool_task::owner_condition() const {
    return {owner_prefix + m_ownership.duty, m_ownership.token};
}

} // namespace siskinpaddle::node
