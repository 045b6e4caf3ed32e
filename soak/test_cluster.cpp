#include "soak/test_cluster.hpp"

#include "net/free_port.hpp"
#include "node/keys.hpp"
#include "platform/platform.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <set>
#include <unistd.h>

namespace siskinpaddle::soak {

namespace {

constexpr std::string_view pool = "p";
/// A second pool, so that accounts run tasks in pools with different owners. No fault concerns its VMs.
constexpr std::string_view bulk_pool = "q";
constexpr std::uint32_t bulk_vms = 2;
constexpr milliseconds bulk_run_time = 600ms;
/// The grace period in the nodes' settings, and how much later than that a process may end on a busy machine
/// before the soak reports a problem.
constexpr milliseconds grace = 6s;
constexpr milliseconds end_slack = 6s;
constexpr milliseconds link_delay = 300ms;
/// In this period a slow node runs for one iteration of the soak's event loop (2 ms): eight iterations within
/// the lease (2 s) of an owner's claim. With periods of 60, 150, 250 and 400 ms, and one run for each of 12
/// seeds, 0, 0, 2 and 1 runs detect an owner that counts only jobs already transferred from the inbox.
constexpr milliseconds slow_period = 250ms;
/// Time that the start of a node's program can take on a busy machine.
constexpr milliseconds startup_time = 1s;
/// Time between the crash of a VM and the start of its next incarnation.
constexpr milliseconds vm_down_time = 1500ms;
/// One VM in so many doesn't report its start and has another id after each; the others keep their id. Among
/// these, clocks begin behind and ahead of the previous start's.
constexpr std::uint32_t vm_id_period = 4;
constexpr jobs::resources full_capacity{4000, 8192, 0};
constexpr jobs::resources shrunk_capacity{1000, 8192, 0};
constexpr int lost_answers = 4;
constexpr int late_writes = 2;
constexpr int late_starts = 3;
constexpr int lost_stops = 2;
/// Some late starts are still within their deadline after this delay.
constexpr milliseconds late_start_delay = 1200ms;
/// Clock rate of every second VM: the slowest that the platform allows. The other VMs have an exact clock.
constexpr double slow_clock_rate = 0.98;
/// Run time of tasks, by VM. The last one is longer than the takeover of a pool, so that the successor finds
/// runs that a dead owner started, and is shorter than a lease.
constexpr std::array run_times{200ms, 600ms, 1400ms, 5000ms};

bool is_node_fault(fault_kind kind) {
    return kind == fault_kind::node_kill || kind == fault_kind::node_term || kind == fault_kind::node_pause ||
           kind == fault_kind::node_slow;
}

bool is_restart(fault_kind kind) {
    return kind == fault_kind::vm_restarts || kind == fault_kind::vm_restarts_cut ||
           kind == fault_kind::vm_restarts_late;
}

link_mode mode_of(fault_kind kind) {
    switch (kind) {
    case fault_kind::store_link_delay:
    case fault_kind::vm_link_delay:
    case fault_kind::vm_restarts_late:
        return link_mode::delay;
    case fault_kind::store_link_cut_out:
    case fault_kind::vm_link_cut_out:
        return link_mode::drop_to_server;
    case fault_kind::store_link_cut_back:
    case fault_kind::vm_link_cut_back:
        return link_mode::drop_to_client;
    case fault_kind::store_link_silent:
    case fault_kind::vm_link_silent:
    case fault_kind::vm_restarts_cut:
        return link_mode::drop_all;
    default:
        return link_mode::reset;
    }
}

std::string loopback_address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// Returns a loopback address specific to this process. Several soaks run in parallel; on a shared address
/// two of them can assign the same port to their nodes, so that a restarted node finds its port used by a
/// node of another soak, or is mistaken for that node.
std::string process_address() {
    const auto pid = static_cast<std::uint32_t>(getpid());
    return "127." + std::to_string(1 + (pid >> 16U) % 250) + "." + std::to_string((pid >> 8U) & 255U) + "." +
           std::to_string(pid & 255U);
}

std::string process_address(std::uint16_t port) {
    return process_address() + ":" + std::to_string(port);
}

} // namespace

test_cluster::test_cluster(event_loop& loop, test_cluster_settings settings, std::uint64_t seed)
    : m_loop(loop), m_settings(std::move(settings)), m_store(loop), m_accounts(seed) {}

std::string test_cluster::extra_prefix(std::int64_t version) {
    return "/extra-" + std::to_string(version) + "/";
}

bool test_cluster::start() {
    if (!m_store.listen({"127.0.0.1", 0})) {
        return false;
    }
    publish_configuration();
    m_store.on_change([this](const std::string& key) { record_owner(key); });
    m_vms.resize(m_settings.vms + bulk_vms);
    for (std::uint32_t i = 0; i < m_vms.size(); ++i) {
        add_vm(i);
    }
    for (std::uint32_t i = 0; i < m_settings.nodes; ++i) {
        if (!add_node(i)) {
            return false;
        }
    }
    return true;
}

/// Publishes the next configuration. Each version replaces the extra queue of the previous one, so that
/// clients can observe which version is in force.
void test_cluster::publish_configuration() {
    const auto queue = [](const std::string& name, const std::string& prefix, std::string_view in_pool) {
        jobs::queue_settings item;
        item.name = name;
        item.host = client_host;
        item.prefix = prefix;
        item.pool = in_pool;
        item.max_attempts = 50;
        item.stretch_factor = 20;
        item.target_latency = 20s;
        return item;
    };
    jobs::fleet_configuration configuration;
    configuration.version = m_configuration_version;
    configuration.queues = {queue("quotes", std::string(quotes_prefix), pool),
                            queue("bulk", std::string(bulk_prefix), bulk_pool),
                            queue("extra", extra_prefix(m_configuration_version), pool)};
    configuration.queues.back().is_public = true;
    // The fake VMs don't check their capacity before they start a run.
    configuration.pools = {{std::string(pool), false, false}, {std::string(bulk_pool), false, false}};
    configuration.max_body_bytes = 65'536;
    m_store.put(
        std::string(platform::configuration_key),
        platform::encode_configuration(configuration, m_accounts.publish(task_need, event_loop::now())));
}

bool test_cluster::add_node(std::uint32_t number) {
    auto state = std::make_unique<cluster_node>();
    state->id = "n" + std::to_string(number + 1);
    state->clients = {process_address(), tests::free_port()};
    state->store_link = std::make_unique<fault_proxy>(m_loop, endpoint{"127.0.0.1", m_store.port()});
    state->client_link = std::make_unique<fault_proxy>(m_loop, state->clients);
    state->client_port = state->client_link->listen();
    state->settings_file = m_settings.folder + "/" + state->id + ".json";
    state->log = m_settings.folder + "/" + state->id + ".log";
    const boost::json::object document{{"id", state->id},
                                       {"availability_zone", "z" + std::to_string(number % 2)},
                                       {"clients", process_address(state->clients.port)},
                                       {"readiness", process_address(tests::free_port())},
                                       {"address", process_address()},
                                       {"peer_port", tests::free_port()},
                                       {"metrics_port", tests::free_port()},
                                       {"store", loopback_address(state->store_link->listen())},
                                       {"machines", loopback_address(tests::free_port())},
                                       {"advice", ""},
                                       {"vm_lease_ms", 6000},
                                       {"order_quiet_ms", 3000},
                                       {"grace_s", grace / 1s},
                                       {"keep_ended_s", 600},
                                       {"upkeep_s", 2},
                                       {"move_s", 1.5},
                                       {"machine_orders_per_s", 64.0},
                                       {"config_apply_ms", configuration_time.count()},
                                       {"revoke_ms", key_revocation_time.count()},
                                       {"strict_revoke", true},
                                       {"processor_share", 0.25}};
    std::ofstream(state->settings_file) << boost::json::serialize(document);
    start_node(*state);
    m_nodes.push_back(std::move(state));
    return m_nodes.back()->process->is_running();
}

void test_cluster::start_node(cluster_node& state) {
    state.process = std::make_unique<child_process>(
        m_settings.program, std::vector<std::string>{"--settings", state.settings_file}, state.log);
    state.is_ending = false;
    state.is_slow_stopped = false;
    state.started_at = event_loop::now();
    state.terminated_at = timestamp(0);
    ++state.starts;
}

endpoint test_cluster::client_endpoint(std::uint32_t node) const {
    return {"127.0.0.1", m_nodes[node]->client_port};
}

// --- VMs ---

void test_cluster::add_vm(std::uint32_t number) {
    cluster_vm& state = m_vms[number];
    fakes::task_machine::settings options;
    options.name = "v" + std::to_string(number + 1);
    const bool is_bulk = number >= m_settings.vms;
    options.pool = is_bulk ? bulk_pool : pool;
    options.run_time = is_bulk ? bulk_run_time : run_times.at(number % run_times.size());
    options.down_time = vm_down_time;
    options.clock_rate = number % 2 == 0 ? slow_clock_rate : 1;
    options.keeps_id = number % vm_id_period != 0;
    options.restart_clock_ms = number % 2 == 0 ? 0 : 2 * fakes::task_machine::first_clock_ms;
    state.machine = std::make_unique<fakes::task_machine>(m_loop, m_store, options);
    state.machine->on_incarnation_start([this, &state](const endpoint& server) {
        if (state.link == nullptr) {
            state.link = std::make_unique<fault_proxy>(m_loop, server);
            state.machine->set_registered_port(state.link->listen());
        }
        state.link->set_server(server);
    });
    if (!state.machine->start()) {
        m_problems.emplace_back("a fake VM can't listen");
    }
}

void test_cluster::set_shrunk(cluster_vm& state, bool enabled) {
    state.shrink_count += enabled ? 1 : -1;
    state.machine->set_capacity(state.shrink_count > 0 ? shrunk_capacity : full_capacity);
}

void test_cluster::set_failing(const cluster_vm& state, bool enabled) {
    if (state.machine->vm() != nullptr) {
        state.machine->vm()->set_failing(enabled);
    }
}

void test_cluster::delay_orders(const cluster_vm& state) {
    if (state.machine->vm() != nullptr) {
        state.machine->vm()->delay_starts(late_starts, late_start_delay);
        state.machine->vm()->lose_stops(lost_stops);
    }
}

std::vector<vm_run> test_cluster::runs() const {
    std::vector<vm_run> result;
    for (const cluster_vm& state : m_vms) {
        std::ranges::copy(state.machine->runs(), std::back_inserter(result));
    }
    return result;
}

std::vector<fakes::vm_capacity> test_cluster::capacities() const {
    std::vector<fakes::vm_capacity> result;
    for (const cluster_vm& state : m_vms) {
        std::ranges::copy(state.machine->capacities(), std::back_inserter(result));
    }
    return result;
}

// --- Owners ---

/// Records the owner of the pool by its fencing token. A claim writes the token's key and the owner's name in
/// one transaction, the name last.
void test_cluster::record_owner(const std::string& key) {
    const std::string duty = node::pool_duty(std::string(pool));
    if (key != node::liveness_prefix + duty) {
        return;
    }
    for (const auto& state : m_nodes) {
        if (m_store.has_value(key, state->id)) {
            m_owners[m_store.revision_of(node::owner_prefix + duty)] = state.get();
        }
    }
}

bool test_cluster::had_contact(std::int64_t token, timestamp at, milliseconds contact) const {
    const auto owner = m_owners.find(token);
    return owner != m_owners.end() && std::ranges::none_of(m_outages, [&](const contact_outage& item) {
               const bool is_affected = item.node == nullptr || item.node == owner->second;
               return is_affected && item.from <= at && (!item.until || *item.until + contact >= at);
           });
}

/// Faults of VMs, faults of the links to VMs, and new configurations are not recorded: an owner must act
/// correctly during these.
void test_cluster::record_outage(const planned_fault& fault) {
    const bool is_link_fault =
        (fault.kind >= fault_kind::store_link_delay && fault.kind <= fault_kind::store_link_silent) ||
        fault.kind == fault_kind::client_link_reset;
    const bool is_store_fault =
        (fault.kind >= fault_kind::store_silent && fault.kind <= fault_kind::store_leases_lapse) ||
        fault.kind == fault_kind::store_holds_jobs;
    if (is_link_fault || is_node_fault(fault.kind)) {
        const cluster_node* node = m_nodes[fault.target % m_settings.nodes].get();
        m_outages.push_back({fault, node, event_loop::now(), std::nullopt});
    } else if (is_store_fault) {
        m_outages.push_back({fault, nullptr, event_loop::now(), std::nullopt});
    }
}

void test_cluster::end_outage(const planned_fault& fault) {
    const auto open = std::ranges::find_if(
        m_outages, [&](const contact_outage& item) { return item.fault == fault && !item.until; });
    if (open != m_outages.end()) {
        open->until = event_loop::now();
    }
}

// --- Faults ---

fault_proxy* test_cluster::link_of(const planned_fault& fault) {
    switch (fault.kind) {
    case fault_kind::store_link_delay:
    case fault_kind::store_link_reset:
    case fault_kind::store_link_cut_out:
    case fault_kind::store_link_cut_back:
    case fault_kind::store_link_silent:
        return m_nodes[fault.target % m_settings.nodes]->store_link.get();
    case fault_kind::client_link_reset:
        return m_nodes[fault.target % m_settings.nodes]->client_link.get();
    case fault_kind::vm_link_delay:
    case fault_kind::vm_link_reset:
    case fault_kind::vm_link_cut_out:
    case fault_kind::vm_link_cut_back:
    case fault_kind::vm_link_silent:
    case fault_kind::vm_restarts_cut:
    case fault_kind::vm_restarts_late:
        return m_vms[fault.target % m_settings.vms].link.get();
    default:
        return nullptr;
    }
}

void test_cluster::apply_node_fault(cluster_node& state, fault_kind kind) {
    if (kind == fault_kind::node_slow) {
        ++state.slow_count;
        return;
    }
    if (kind == fault_kind::node_pause) {
        ++state.pause_count;
        state.process->signal(SIGSTOP);
        return;
    }
    ++state.restart_blocks;
    state.is_ending = true;
    if (kind == fault_kind::node_kill) {
        state.process->kill();
    } else {
        state.terminated_at = state.terminated_at == timestamp(0) ? event_loop::now() : state.terminated_at;
        state.process->signal(SIGTERM);
    }
}

void test_cluster::revert_node_fault(cluster_node& state, fault_kind kind) {
    if (kind != fault_kind::node_pause && kind != fault_kind::node_slow) {
        --state.restart_blocks;
        return;
    }
    --(kind == fault_kind::node_pause ? state.pause_count : state.slow_count);
    if (state.pause_count == 0) {
        state.process->signal(SIGCONT);
        state.is_slow_stopped = false;
        state.terminated_at = state.terminated_at == timestamp(0) ? timestamp(0) : event_loop::now();
    }
}

/// Sends SIGHUP, except to a process that may not have reached main() yet: SIGHUP would end that process.
void test_cluster::reload_node(const cluster_node& state) {
    if (state.pause_count == 0 && event_loop::now() - state.started_at >= startup_time) {
        state.process->signal(SIGHUP);
    }
}

void test_cluster::switch_slow_nodes() {
    const timestamp now = event_loop::now();
    for (const auto& state : m_nodes) {
        if (state->slow_count == 0 || state->pause_count > 0 ||
            (state->is_slow_stopped && now < state->next_switch_at)) {
            continue;
        }
        state->is_slow_stopped = !state->is_slow_stopped;
        state->next_switch_at = now + slow_period;
        state->process->signal(state->is_slow_stopped ? SIGSTOP : SIGCONT);
    }
}

void test_cluster::set_store_fault(fault_kind kind, bool enabled) {
    std::uint32_t& count = kind == fault_kind::store_silent ? m_silent_faults : m_busy_faults;
    count += enabled ? 1 : -1;
    if (kind == fault_kind::store_silent) {
        m_store.set_silent(m_silent_faults > 0);
    } else {
        m_store.set_busy(m_busy_faults > 0);
    }
}

/// While writes of job records are held, the owner doesn't answer calls from entries in time. Entries then
/// leave jobs in the inbox, and the owner can't transfer the jobs from there.
void test_cluster::hold_job_writes(bool enabled) {
    m_hold_faults += enabled ? 1 : -1;
    m_store.hold_writes(m_hold_faults > 0 ? node::job_prefix(std::string(pool)) : std::string());
}

void test_cluster::apply(const planned_fault& fault) {
    record_outage(fault);
    if (fault_proxy* link = link_of(fault)) {
        ++m_link_faults[link];
        link->set_mode(mode_of(fault.kind), link_delay);
    }
    if (is_restart(fault.kind) && fault.kind != fault_kind::vm_restarts_late) {
        vm_of(fault).machine->restart();
    }
    if (link_of(fault) != nullptr || is_restart(fault.kind)) {
        return;
    }
    if (is_node_fault(fault.kind)) {
        apply_node_fault(*m_nodes[fault.target % m_settings.nodes], fault.kind);
        return;
    }
    switch (fault.kind) {
    case fault_kind::vm_crash:
        vm_of(fault).machine->block_restart(true);
        vm_of(fault).machine->crash();
        return;
    case fault_kind::vm_shrinks:
        set_shrunk(vm_of(fault), true);
        return;
    case fault_kind::vm_fails_runs:
        set_failing(vm_of(fault), true);
        return;
    case fault_kind::vm_late_orders:
        delay_orders(vm_of(fault));
        return;
    case fault_kind::vm_drains:
        vm_of(fault).machine->drain();
        return;
    case fault_kind::node_reloads:
        reload_node(*m_nodes[fault.target % m_settings.nodes]);
        return;
    case fault_kind::store_silent:
    case fault_kind::store_busy:
        set_store_fault(fault.kind, true);
        return;
    case fault_kind::store_holds_jobs:
        hold_job_writes(true);
        return;
    case fault_kind::store_lost_answers:
        m_store.lose_answers(lost_answers);
        return;
    case fault_kind::store_late_writes:
        m_store.delay_writes(late_writes);
        return;
    case fault_kind::store_compact:
        m_store.compact();
        return;
    case fault_kind::store_leases_lapse:
        m_store.expire_leases();
        return;
    default:
        m_configuration_version += 2;
        publish_configuration();
        return;
    }
}

void test_cluster::revert(const planned_fault& fault) {
    end_outage(fault);
    if (fault.kind == fault_kind::vm_restarts_late) {
        vm_of(fault).machine->restart();
    }
    if (fault_proxy* link = link_of(fault)) {
        if (--m_link_faults[link] == 0) {
            link->set_mode(link_mode::pass);
        }
    } else if (is_node_fault(fault.kind)) {
        revert_node_fault(*m_nodes[fault.target % m_settings.nodes], fault.kind);
    } else if (fault.kind == fault_kind::vm_crash) {
        vm_of(fault).machine->block_restart(false);
    } else if (fault.kind == fault_kind::vm_shrinks) {
        set_shrunk(vm_of(fault), false);
    } else if (fault.kind == fault_kind::vm_fails_runs) {
        set_failing(vm_of(fault), false);
    } else if (fault.kind == fault_kind::vm_drains) {
        vm_of(fault).machine->crash();
    } else if (fault.kind == fault_kind::store_silent || fault.kind == fault_kind::store_busy) {
        set_store_fault(fault.kind, false);
    } else if (fault.kind == fault_kind::store_holds_jobs) {
        hold_job_writes(false);
    } else if (fault.kind == fault_kind::store_lost_answers) {
        m_store.lose_answers(0);
    } else if (fault.kind == fault_kind::store_late_writes) {
        m_store.delay_writes(0);
    }
}

void test_cluster::update() {
    const timestamp now = event_loop::now();
    for (const cluster_vm& state : m_vms) {
        state.machine->remove_expired_registrations();
    }
    for (const auto& state : m_nodes) {
        const bool running = state->process->is_running();
        if (!running && !state->is_ending) {
            m_problems.push_back(state->id + " ended unexpectedly, code " +
                                 std::to_string(state->process->exit_code()));
        }
        const bool overdue = state->terminated_at != timestamp(0) &&
                             state->pause_count + state->slow_count == 0 &&
                             now - state->terminated_at > grace + end_slack;
        if (running && overdue) {
            m_problems.push_back(state->id + " did not stop within its grace period");
            state->process->kill();
        }
        if (!running && state->restart_blocks == 0) {
            start_node(*state);
            if (state->pause_count > 0) {
                state->process->signal(SIGSTOP);
            }
        }
    }
}

} // namespace siskinpaddle::soak
