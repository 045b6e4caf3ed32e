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

constexpr std::uint32_t bulk_vms = 2;
constexpr milliseconds bulk_run_time = 600ms;
/// The grace period in the nodes' settings, and how much later than that a process may end on a busy machine
/// before the soak reports a problem.
constexpr milliseconds grace = 6s;
constexpr milliseconds end_slack = 6s;
/// Longest lease of a VM, above the lease that an owner grants.
constexpr milliseconds max_vm_lease = 10s;
/// Time between the crash of a VM and the start of its next incarnation.
constexpr milliseconds vm_down_time = 1500ms;
/// One VM in so many doesn't report its start and has another id after each; the others keep their id. Among
/// these, clocks begin behind and ahead of the previous start's.
constexpr std::uint32_t vm_id_period = 4;
/// Clock rate of every second VM: the slowest that the platform allows. The other VMs have an exact clock.
constexpr double slow_clock_rate = 0.98;
/// Run time of tasks, by VM. The last one is longer than the takeover of a pool, so that the successor finds
/// runs that a dead owner started, and is shorter than a lease.
constexpr std::array run_times{200ms, 600ms, 1400ms, 5000ms};

constexpr std::uint64_t strength_seed = 0x57e6;
/// Share of a processor that the nodes' settings tell, of the usual and of the weak node.
constexpr double processor_share = 0.25;
constexpr double weak_processor_share = 0.12;

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
    : m_loop(loop), m_settings(std::move(settings)), m_store(loop), m_accounts(seed),
      m_weak_node(static_cast<std::uint32_t>(std::mt19937_64(seed ^ strength_seed)() % m_settings.nodes)) {}

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

/// The pool to which the moving queue leads in this configuration version; empty if the queue doesn't exist.
std::string_view test_cluster::pool_of_moving_queue() const {
    constexpr std::int64_t versions_per_absence = 5;
    const std::int64_t number = m_configuration_version / 2; // Versions increase by two.
    if (number % versions_per_absence == 0 && !m_is_last_configuration) {
        return {};
    }
    return number % 2 == 0 ? pool_name : bulk_pool_name;
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
    configuration.queues = {queue("quotes", std::string(quotes_prefix), pool_name),
                            queue("bulk", std::string(bulk_prefix), bulk_pool_name),
                            queue("extra", extra_prefix(m_configuration_version), pool_name)};
    configuration.queues.back().is_public = true;
    if (const std::string_view pool = pool_of_moving_queue(); !pool.empty()) {
        configuration.queues.push_back(queue("moving", std::string(moving_prefix), pool));
    }
    // The fake VMs don't check their capacity before they start a run.
    configuration.pools = {{std::string(pool_name), false, false},
                           {std::string(bulk_pool_name), false, false}};
    configuration.max_body_bytes = 65'536;
    m_store.put(
        std::string(platform::configuration_key),
        platform::encode_configuration(configuration, m_accounts.publish(task_need, event_loop::now())));
    m_publications[m_configuration_version] = event_loop::now();
}

bool test_cluster::add_node(std::uint32_t number) {
    auto state = std::make_unique<cluster_node>();
    state->id = "n" + std::to_string(number + 1);
    state->is_weak = number == m_weak_node && m_settings.nodes > 1;
    state->clients = {process_address(), tests::free_port()};
    state->metrics = {process_address(), tests::free_port()};
    state->store_link = std::make_unique<fakes::fault_proxy>(m_loop, endpoint{"127.0.0.1", m_store.port()});
    state->client_link = std::make_unique<fakes::fault_proxy>(m_loop, state->clients);
    state->client_port = state->client_link->listen();
    state->settings_file = m_settings.folder + "/" + state->id + ".json";
    state->log = m_settings.folder + "/" + state->id + ".log";
    const boost::json::object document{
        {"id", state->id},
        {"availability_zone", "z" + std::to_string(number % 2)},
        {"clients", process_address(state->clients.port)},
        {"readiness", process_address(tests::free_port())},
        {"address", process_address()},
        {"peer_port", tests::free_port()},
        {"metrics_port", state->metrics.port},
        {"store", loopback_address(state->store_link->listen())},
        {"machines", loopback_address(tests::free_port())},
        {"advice", ""},
        {"vm_lease_ms", max_vm_lease.count()},
        {"order_quiet_ms", 3000},
        {"grace_s", grace / 1s},
        {"keep_ended_s", 600},
        {"upkeep_s", 2},
        {"move_s", 1.5},
        {"machine_orders_per_s", 64.0},
        {"config_apply_ms", configuration_time.count()},
        {"revoke_ms", key_revocation_time.count()},
        {"strict_revoke", true},
        {"processor_share", state->is_weak ? weak_processor_share : processor_share}};
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
    options.pool = is_bulk ? bulk_pool_name : pool_name;
    options.run_time = is_bulk ? bulk_run_time : run_times.at(number % run_times.size());
    options.down_time = vm_down_time;
    options.max_lease = max_vm_lease;
    options.clock_rate = number % 2 == 0 ? slow_clock_rate : 1;
    options.keeps_id = number % vm_id_period != 0;
    options.restart_clock_ms = number % 2 == 0 ? 0 : 2 * fakes::task_machine::first_clock_ms;
    state.machine = std::make_unique<fakes::task_machine>(m_loop, m_store, options);
    state.machine->on_incarnation_start([this, &state](const endpoint& server) {
        if (state.link == nullptr) {
            state.link = std::make_unique<fakes::fault_proxy>(m_loop, server);
            state.machine->set_registered_port(state.link->listen());
        }
        state.link->set_server(server);
    });
    if (!state.machine->start()) {
        m_problems.emplace_back("a fake VM can't listen");
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
    const std::string duty = node::pool_duty(std::string(pool_name));
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
    // A VM that was recorded after the claim has a token of its own, above that of the claim.
    const auto next = m_owners.upper_bound(token);
    return next != m_owners.begin() && !had_outage(*std::prev(next)->second, at, contact);
}

bool test_cluster::had_outage(const cluster_node& node, timestamp at, milliseconds contact) const {
    return std::ranges::any_of(m_outages, [&](const contact_outage& item) {
        const bool is_affected = item.node == nullptr || item.node == &node;
        return is_affected && item.from <= at && (!item.until || *item.until + contact >= at);
    });
}

bool test_cluster::is_in_touch(std::uint32_t node, milliseconds contact) const {
    const cluster_node& state = *m_nodes[node];
    const timestamp now = event_loop::now();
    return state.started_at + contact <= now && !had_outage(state, now, contact);
}

/// Faults of VMs, faults of the links to VMs, and new configurations are not recorded: an owner must act
/// correctly during these.
void test_cluster::record_outage(const planned_fault& fault) {
    const bool is_link_fault =
        (fault.kind >= fault_kind::store_link_delay && fault.kind <= fault_kind::store_link_silent) ||
        fault.kind == fault_kind::client_link_reset || fault.kind == fault_kind::store_connections_silent;
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
