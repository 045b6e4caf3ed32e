#include "node/pool_task.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Pause before a failed read of the store is repeated; each call counts against its rates.
constexpr milliseconds load_retry = 150ms;
/// How often decisions are looked at without an event: leases that ran out, stops to repeat.
constexpr milliseconds decide_interval = 200ms;
constexpr milliseconds load_interval = 1s;
/// VMs that left the pool are taken out of the record together.
constexpr milliseconds record_pause = 300ms;
/// Between two looks at the platform's machines for VMs that an earlier owner used and that don't answer.
constexpr milliseconds unheard_interval = 400ms;
/// A watch is begun anew this often; a connection that went silent is found within this time.
constexpr milliseconds inbox_wait = 1200ms;

/// Long enough that runs outlive the change of their owner (a lease of three seconds, and what a renewal
/// waits for); no longer, since the runs of a VM that went dark start elsewhere only when its lease has run
/// out, and a successor waits for silent VMs that long and four seconds more: 10.7 s, below the 12 s within
/// which a restarted system has to serve again. With leases of ten seconds it would be 14.8 s.
constexpr milliseconds longest_lease = 6s;

jobs::scheduler_settings scheduler_settings_for(const node_settings& settings) {
    jobs::scheduler_settings result;
    result.lease = std::min(settings.vm_lease, longest_lease);
    // An earlier owner acts for a while past its lease and grants whole leases until then; VM clocks are
    // slow.
    result.unaccounted_window = membership_task::grace_after_lease +
                                std::chrono::duration_cast<milliseconds>(result.lease * 1.03) + 500ms;
    return result;
}

} // namespace

pool_task::pool_task(context parts, std::string pool, const ownership& held)
    : m_parts(parts), m_pool(std::move(pool)), m_held(held),
      m_scheduler(scheduler_settings_for(parts.settings), held.epoch, event_loop::now()),
      m_directory(parts.loop, parts.store,
                  [this](const std::string& vm, const std::optional<jobs::vm_info>& info) {
                      if (m_ready) {
                          vm_changed(vm, info);
                      }
                  }),
      m_inbox(parts.loop, parts.store, inbox_prefix(m_pool), inbox_wait,
              [this](const platform::store_item& item) { take_inbox(item); }),
      m_record_timer(parts.loop.make_timer([this] { record_vms(); })),
      m_unheard_timer(parts.loop.make_timer([this] { look_for_unheard(); })),
      m_decide_timer(parts.loop.make_timer([this] { decide(); })),
      m_submit_timer(parts.loop.make_timer([this] {
          m_writing_submits = false;
          write_submits();
      })),
      m_store_timer(parts.loop.make_timer([this] { store_round(); })),
      m_retry(parts.loop.make_timer([this] { std::exchange(m_retry_action, {})(); })) {}

void pool_task::renew_token(const ownership& held) {
    m_held = held;
    m_lost = false;
    decide_soon();
}

void pool_task::refresh() {
    if (m_ready) {
        m_directory.refresh();
        m_inbox.refresh();
    }
}

void pool_task::configure(const jobs::fleet_configuration& configuration) {
    std::vector<jobs::queue_settings> queues;
    std::ranges::copy_if(configuration.queues, std::back_inserter(queues),
                         [this](const jobs::queue_settings& item) { return item.pool == m_pool; });
    m_scheduler.configure(std::move(queues));
    decide_soon();
}

// --- Taking over ---

void pool_task::start() {
    log_event(event_id::pool_taking_over,
              {{"pool", m_pool}, {"epoch", m_held.epoch}, {"token", m_held.token}});
    m_directory.start([this] { load_progress({}); });
}

void pool_task::retry_loading(std::function<void()> step) {
    m_retry_action = std::move(step);
    m_retry->start(load_retry);
}

void pool_task::load_progress(const std::string& after) {
    m_parts.store.range(progress_prefix(m_pool), after,
                        [this, after, alive = m_lifetime.watch()](const platform::store_answer& answer) {
                            if (alive.expired()) {
                                return;
                            }
                            if (answer.status != platform::store_status::ok) {
                                retry_loading([this, after] { load_progress(after); });
                                return;
                            }
                            for (const platform::store_item& item : answer.items) {
                                const std::string id = item.key.substr(progress_prefix(m_pool).size());
                                if (const auto progress = decode_archive<jobs::job_progress>(item.value)) {
                                    m_loaded_progress[id] = progress.value();
                                }
                            }
                            if (answer.more && !answer.items.empty()) {
                                load_progress(answer.items.back().key);
                            } else {
                                load_jobs({});
                            }
                        });
}

timestamp pool_task::accepted_at(std::int64_t wall_ms) const {
    const std::int64_t age = std::max<std::int64_t>(0, wall_clock_ms() - wall_ms);
    return event_loop::now() - milliseconds(age);
}

void pool_task::load_jobs(const std::string& after) {
    m_parts.store.range(
        job_prefix(m_pool), after,
        [this, after, alive = m_lifetime.watch()](const platform::store_answer& answer) {
            if (alive.expired()) {
                return;
            }
            if (answer.status != platform::store_status::ok) {
                retry_loading([this, after] { load_jobs(after); });
                return;
            }
            for (const platform::store_item& item : answer.items) {
                const auto record = decode_archive<jobs::job_record>(item.value);
                if (!record) {
                    log_event(event_id::run_noted, {{"what", "job-damaged"}, {"key", item.key}});
                    continue;
                }
                const auto progress = m_loaded_progress.extract(record.value().spec.id);
                m_scheduler.restore_job(record.value(),
                                        progress.empty() ? std::nullopt : std::optional(progress.mapped()),
                                        accepted_at(record.value().accepted_ms));
            }
            if (answer.more && !answer.items.empty()) {
                load_jobs(answer.items.back().key);
            } else {
                load_vms();
            }
        });
}

void pool_task::load_vms() {
    m_parts.store.get(vms_key(m_pool), [this,
                                        alive = m_lifetime.watch()](const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        if (answer.status != platform::store_status::ok && answer.status != platform::store_status::absent) {
            retry_loading([this] { load_vms(); });
            return;
        }
        if (!answer.items.empty()) {
            const auto recorded = decode_archive<std::vector<jobs::vm_info>>(answer.items.front().value);
            if (recorded) {
                m_recorded = recorded.value();
            }
        }
        // Cancellings that did not reach an owner lie in the inbox: none of their tasks may be started first.
        m_inbox.start([this] { finish_loading(); });
    });
}

void pool_task::finish_loading() {
    const timestamp now = event_loop::now();
    for (const auto& [id, progress] : m_loaded_progress) {
        m_ended[id] = progress.phase;
        m_ended_at[id] = now;
    }
    m_loaded_progress.clear();
    m_ready = true;
    for (const jobs::vm_info& info : m_recorded) {
        m_scheduler.expect_vm(info);
        renew(info.incarnation);
    }
    log_event(event_id::pool_taken_over, {{"pool", m_pool},
                                          {"epoch", m_held.epoch},
                                          {"jobs", m_scheduler.job_count()},
                                          {"ended", m_ended.size()},
                                          {"vms", m_recorded.size()}});
    for (const auto& [vm, info] : m_directory.vms()) {
        vm_changed(vm, info);
    }
    look_for_unheard();
}

// --- VMs ---

void pool_task::vm_changed(const std::string& vm, const std::optional<jobs::vm_info>& info) {
    if (!info || info->pool != m_pool) {
        if (m_scheduler.vms().contains(vm)) {
            log_event(event_id::vm_delisted, {{"pool", m_pool}, {"vm", vm}});
            m_scheduler.delist_vm(vm);
            m_record_timer->start(record_pause);
            decide_soon();
        }
        return;
    }
    log_event(event_id::vm_listed, {{"pool", m_pool},
                                    {"vm", vm},
                                    {"machine", info->machine},
                                    {"zone", info->availability_zone},
                                    {"draining", static_cast<int>(info->draining)}});
    if (is_recorded(vm) && m_scheduler.vms().contains(vm)) {
        m_scheduler.list_vm(*info);
        renew(vm);
        decide_soon();
        return;
    }
    m_record_timer->start(0ms); // Those that change together are recorded together.
}

/// Whether the VM stands in the record, and in the one that may be stored any moment.
bool pool_task::is_recorded(const std::string& vm) const {
    const auto holds = [&](const std::vector<jobs::vm_info>& list) {
        return std::ranges::find(list, vm, &jobs::vm_info::incarnation) != list.end();
    };
    return holds(m_recorded) && (!m_recording || holds(m_record_on_its_way));
}

/// VMs that may hold runs, now or after the next decision: those that the platform lists, and those that it
/// does not list any more while something may run there.
std::vector<jobs::vm_info> pool_task::vms_to_record() const {
    std::vector<jobs::vm_info> wanted;
    for (const auto& [vm, info] : m_directory.vms()) {
        if (info.pool == m_pool) {
            wanted.push_back(info);
        }
    }
    for (const jobs::vm_info& info : m_recorded) {
        const auto listed = m_directory.vms().find(info.incarnation);
        const bool here = listed != m_directory.vms().end() && listed->second.pool == m_pool;
        if (!here && !m_scheduler.is_settled(info.incarnation)) {
            wanted.push_back(info);
        }
    }
    return wanted;
}

/// A VM gets its first run only once it is stored that it may hold some, so that a successor knows whom to
/// ask; and it leaves the record when it is gone and empty, since a successor waits for every VM of the
/// record.
void pool_task::record_vms() {
    if (m_recording || m_lost) {
        return;
    }
    const std::vector<jobs::vm_info> wanted = vms_to_record();
    if (wanted == m_recorded) {
        use_recorded();
        return;
    }
    m_recording = true;
    m_record_on_its_way = wanted;
    platform::store_transaction change;
    change.conditions.push_back(owner_condition());
    change.writes.push_back({vms_key(m_pool), encode_archive(wanted), 0});
    m_parts.store.commit(change, [this, wanted, token = m_held.token,
                                  alive = m_lifetime.watch()](const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        m_recording = false;
        if (answer.status == platform::store_status::ok) {
            m_recorded = wanted;
            use_recorded();
        } else if (answer.status == platform::store_status::conflict) {
            ownership_lost("vm record", token);
        }
        if (vms_to_record() != m_recorded) {
            m_record_timer->start(answer.status == platform::store_status::ok ? 0ms : record_pause);
        }
    });
}

void pool_task::use_recorded() {
    for (const jobs::vm_info& info : m_recorded) {
        const auto listed = m_directory.vms().find(info.incarnation);
        if (listed != m_directory.vms().end() && listed->second.pool == m_pool) {
            m_scheduler.list_vm(listed->second);
            m_scheduler.cordon(info.incarnation, m_cleared_vms.contains(info.incarnation));
            renew(info.incarnation);
        }
    }
    decide_soon();
}

/// Looks for VMs that an earlier owner may have used and that are gone, by the platform's list of machines.
/// Without this the earlier owner's tasks wait for VMs that were moved to other pools, until the longest
/// lease has run out.
void pool_task::look_for_unheard() {
    decide_soon();
    if (m_scheduler.unheard().empty()) {
        return;
    }
    m_unheard_timer->start(unheard_interval);
    m_parts.machines.list([this, alive = m_lifetime.watch()](const platform::machine_list& list) {
        if (!alive.expired()) {
            take_machines(list);
        }
    });
}

void pool_task::take_machines(const platform::machine_list& list) {
    for (const jobs::vm_info& info : m_recorded) {
        const auto found = std::ranges::find(list.machines, info.machine, &platform::machine_info::machine);
        // The list may be a second old, so what is still registered as a VM may be newer than the list. That
        // another life of the machine is registered proves nothing: an ended life's last heartbeat can bring
        // its entry back.
        const bool registered = m_directory.vms().contains(info.incarnation);
        if (registered || found == list.machines.end() || !m_scheduler.unheard().contains(info.incarnation)) {
            continue;
        }
        const bool taken_down = found->phase == platform::machine_phase::moving ||
                                found->phase == platform::machine_phase::upkeep;
        const bool elsewhere = found->pool != m_pool;
        if (taken_down || elsewhere) {
            m_scheduler.vm_gone(info.incarnation, event_loop::now());
        }
    }
    decide_soon();
}

// --- Deciding ---

bool pool_task::may_act() const {
    return m_ready && !m_lost && event_loop::now() < m_parts.membership.act_until(m_held.duty);
}

void pool_task::decide_soon() {
    if (m_deciding) {
        return;
    }
    m_deciding = true;
    m_decide_timer->start(milliseconds(0));
}

void pool_task::decide() {
    m_deciding = false;
    if (!m_ready) {
        return;
    }
    m_decide_timer->start(decide_interval);
    const bool acting = may_act() && !m_winding_down;
    if (acting != m_acting) {
        m_acting = acting;
        log_event(acting ? event_id::pool_resumed : event_id::pool_paused,
                  {{"pool", m_pool}, {"token", m_held.token}, {"lost", static_cast<int>(m_lost)}});
    }
    if (!acting) {
        return;
    }
    const timestamp now = event_loop::now();
    const bool certain = now < m_parts.membership.certain_until(m_held.duty);
    const jobs::decisions wanted = m_scheduler.decide(now, wall_clock_ms(), certain);
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
    for (const jobs::advice_request& question : wanted.questions) {
        send_question(question);
    }
    if (m_scheduler.has_changes()) {
        store_soon();
    }
    forget_old();
    log_load(now);
}

void pool_task::log_load(timestamp now) {
    const jobs::pool_load load = m_scheduler.load();
    if (now - m_load_logged_at < load_interval || m_scheduler.job_count() == 0) {
        return;
    }
    m_load_logged_at = now;
    log_event(event_id::pool_load, {{"pool", m_pool},
                                    {"vms", load.usable_vms},
                                    {"usable_cores", load.usable_millicores / 1000},
                                    {"used_cores", load.used_millicores / 1000},
                                    {"waiting_ms", load.wait().count()},
                                    {"jobs", m_scheduler.job_count()}});
}

/// One line for each step that got tasks placed, and one for each note.
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
                                           {"token", m_held.token}});
    }
    for (const jobs::scheduler_note& note : wanted.notes) {
        log_event(event_id::run_noted,
                  {{"pool", m_pool},
                   {"what", note.what},
                   {"vm", note.vm},
                   {"task", note.task ? platform::encode_task(*note.task) : std::string("-")},
                   {"attempt", note.attempt}});
    }
}

void pool_task::check_answer(const std::string& vm, jobs::order_outcome outcome, const char* order,
                             const jobs::task_id& task, std::uint32_t attempt, std::int64_t token) {
    m_parts.counters.count("orders_" + std::string(order) + "_" + std::string(name_of(outcome)));
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
        m_scheduler.vm_gone(vm, event_loop::now());
    } else if (outcome == jobs::order_outcome::not_sent) {
        m_scheduler.vm_unreachable(vm);
    } else if (outcome == jobs::order_outcome::refused_fenced) {
        ownership_lost("fence", token);
    }
}

void pool_task::send_start(const jobs::start_order& order) {
    const auto vm = m_scheduler.vms().find(order.vm);
    const jobs::job_state* job = m_scheduler.find_job(order.task.job);
    m_parts.vms.start(vm->second.info(), m_held.token, order, job->spec().payload,
                      [this, order, token = m_held.token,
                       alive = m_lifetime.watch()](const platform::order_answer& answer) {
                          if (alive.expired()) {
                              return;
                          }
                          m_scheduler.start_answered(order, answer.outcome, answer.clock_ms,
                                                     event_loop::now());
                          check_answer(order.vm, answer.outcome, "start", order.task, order.attempt, token);
                          if (answer.outcome != jobs::order_outcome::accepted) {
                              decide_soon();
                          }
                      });
}

void pool_task::send_stop(const jobs::stop_order& order) {
    const auto vm = m_scheduler.vms().find(order.vm);
    if (vm == m_scheduler.vms().end()) {
        return;
    }
    m_parts.vms.stop(vm->second.info(), m_held.token, order,
                     [this, order, token = m_held.token,
                      alive = m_lifetime.watch()](const platform::order_answer& answer) {
                         if (!alive.expired()) {
                             m_scheduler.stop_answered(order, answer.outcome, answer.clock_ms,
                                                       event_loop::now());
                             check_answer(order.vm, answer.outcome, "stop", order.task, order.attempt, token);
                         }
                     });
}

void pool_task::send_pace(const jobs::pace_order& order) {
    const auto vm = m_scheduler.vms().find(order.vm);
    if (vm == m_scheduler.vms().end()) {
        return;
    }
    m_parts.vms.pace(vm->second.info(), m_held.token, order,
                     [this, order, token = m_held.token,
                      alive = m_lifetime.watch()](const platform::order_answer& answer) {
                         if (!alive.expired()) {
                             check_answer(order.vm, answer.outcome, "pace", order.task, order.attempt, token);
                         }
                     });
}

void pool_task::send_question(const jobs::advice_request& question) {
    m_parts.counters.count("advice_questions");
    m_parts.advice.ask(question,
                       [this, question, alive = m_lifetime.watch()](const jobs::advice_answer& answer) {
                           if (alive.expired()) {
                               return;
                           }
                           log_event(event_id::advice_answered, {{"pool", m_pool},
                                                                 {"job", question.job},
                                                                 {"step", question.step},
                                                                 {"asked", question.vms.size()},
                                                                 {"approved", answer.tickets.size()},
                                                                 {"good", static_cast<int>(answer.good)}});
                           m_scheduler.advice_answered(question, answer, event_loop::now());
                           decide_soon();
                       });
}

void pool_task::ownership_lost(const char* found_by, std::int64_t token) {
    // What was sent under an earlier token of ours fails as well; that says nothing about the present one.
    if (!m_lost && token == m_held.token) {
        m_lost = true;
        log_event(event_id::duty_lost,
                  {{"duty", m_held.duty}, {"token", m_held.token}, {"found_by", found_by}});
    }
}

platform::store_condition pool_task::owner_condition() const {
    return {owner_prefix + m_held.duty, m_held.token};
}

} // namespace siskinpaddle::node
