#include "soak/world.hpp"

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
/// The grace period in the nodes' settings, and what a process may be late by on a busy machine before that
/// counts as a finding.
constexpr milliseconds grace = 6s;
constexpr milliseconds end_slack = 6s;
constexpr milliseconds link_delay = 300ms;
/// A slow node gets one turn of the soak's own loop (2 ms) in this time, and eight turns in the lease (2 s)
/// by which an owner holds its claim. Of 60, 150, 250 and 400 ms it is the one by which most of 12 seeds,
/// played once each, found an owner that counts only the jobs it has taken: 0, 0, 2 and 1.
constexpr milliseconds slow_period = 250ms;
/// Until a node's program runs, on a busy machine.
constexpr milliseconds start_time = 1s;
/// How long a VM that a task has crashed is away.
constexpr milliseconds vm_down_time = 1500ms;
constexpr jobs::resources whole_vm{4000, 8192, 0};
constexpr jobs::resources shrunk_vm{1000, 8192, 0};
constexpr int lost_answers = 4;
constexpr int late_writes = 2;
constexpr int late_starts = 3;
constexpr int lost_stops = 2;
/// Some starts still hold by then.
constexpr milliseconds late_start_time = 1200ms;
/// VMs' clocks: the slowest that the platform allows, and a plain one, by turns.
constexpr double slow_clock = 0.98;
/// How long tasks run, by VM. The last outlives the change of a pool's owner, so that runs of a dead owner
/// are there for its successor to find, and stays below a lease.
constexpr std::array run_times{200ms, 600ms, 1400ms, 5000ms};

bool is_node_fault(fault_kind kind) {
    return kind == fault_kind::node_kill || kind == fault_kind::node_term || kind == fault_kind::node_pause ||
           kind == fault_kind::node_slow;
}

link_mode mode_of(fault_kind kind) {
    switch (kind) {
    case fault_kind::store_link_delay:
    case fault_kind::vm_link_delay:
        return link_mode::delay;
    case fault_kind::store_link_cut_out:
    case fault_kind::vm_link_cut_out:
        return link_mode::cut_out;
    case fault_kind::store_link_cut_back:
    case fault_kind::vm_link_cut_back:
        return link_mode::cut_back;
    case fault_kind::store_link_silent:
    case fault_kind::vm_link_silent:
        return link_mode::silent;
    default:
        return link_mode::reset;
    }
}

std::string address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// A loopback address of this process alone. Soaks run side by side; on one address two of them could give
/// their nodes the same ports, and a node that is restarted would find another soak's node on its own, or be
/// taken for it.
std::string own_address() {
    const auto number = static_cast<std::uint32_t>(getpid());
    return "127." + std::to_string(1 + (number >> 16U) % 250) + "." + std::to_string((number >> 8U) & 255U) +
           "." + std::to_string(number & 255U);
}

std::string own_address(std::uint16_t port) {
    return own_address() + ":" + std::to_string(port);
}

} // namespace

world::world(event_loop& loop, world_settings settings)
    : m_loop(loop), m_settings(std::move(settings)), m_store(loop) {}

std::string world::extra_prefix(std::int64_t version) {
    return "/extra-" + std::to_string(version) + "/";
}

bool world::start() {
    if (!m_store.listen({"127.0.0.1", 0})) {
        return false;
    }
    configure();
    m_store.on_change([this](const std::string& key) { note_owner(key); });
    m_vms.resize(m_settings.vms);
    for (std::uint32_t i = 0; i < m_settings.vms; ++i) {
        place_vm(i);
    }
    for (std::uint32_t i = 0; i < m_settings.nodes; ++i) {
        if (!place_node(i)) {
            return false;
        }
    }
    return true;
}

/// Each version replaces the extra queue of the one before, so that every version shows from outside.
void world::configure() {
    const auto queue = [](const std::string& name, const std::string& prefix) {
        jobs::queue_settings item;
        item.name = name;
        item.host = client_host;
        item.prefix = prefix;
        item.pool = pool;
        item.max_attempts = 50;
        item.stretch_factor = 20;
        item.target_latency = 20s;
        return item;
    };
    jobs::fleet_configuration configuration;
    configuration.version = m_version;
    configuration.queues = {queue("quotes", std::string(quotes_prefix)),
                            queue("extra", extra_prefix(m_version))};
    // The stand-in VMs start whatever they are told to.
    configuration.pools = {{std::string(pool), false, false}};
    configuration.max_body_bytes = 65'536;
    m_store.put(std::string(platform::configuration_key), platform::encode_configuration(configuration));
}

bool world::place_node(std::uint32_t number) {
    auto place = std::make_unique<node_place>();
    place->id = "n" + std::to_string(number + 1);
    place->clients = {own_address(), tests::free_port()};
    place->store_link = std::make_unique<fault_proxy>(m_loop, endpoint{"127.0.0.1", m_store.port()});
    place->client_link = std::make_unique<fault_proxy>(m_loop, place->clients);
    place->client_port = place->client_link->listen();
    place->settings_file = m_settings.folder + "/" + place->id + ".json";
    place->log = m_settings.folder + "/" + place->id + ".log";
    const boost::json::object document{{"id", place->id},
                                       {"availability_zone", "z" + std::to_string(number % 2)},
                                       {"clients", own_address(place->clients.port)},
                                       {"readiness", own_address(tests::free_port())},
                                       {"address", own_address()},
                                       {"peer_port", tests::free_port()},
                                       {"metrics_port", tests::free_port()},
                                       {"store", address(place->store_link->listen())},
                                       {"machines", address(tests::free_port())},
                                       {"advice", ""},
                                       {"vm_lease_ms", 6000},
                                       {"order_quiet_ms", 3000},
                                       {"grace_s", grace / 1s},
                                       {"keep_ended_s", 600},
                                       {"upkeep_s", 2},
                                       {"move_s", 1.5},
                                       {"machine_orders_per_s", 64.0},
                                       {"processor_share", 0.25}};
    std::ofstream(place->settings_file) << boost::json::serialize(document);
    start_node(*place);
    m_nodes.push_back(std::move(place));
    return m_nodes.back()->process->running();
}

void world::start_node(node_place& place) {
    place.process = std::make_unique<child_process>(
        m_settings.program, std::vector<std::string>{"--settings", place.settings_file}, place.log);
    place.ending = false;
    place.between_turns = false;
    place.started = event_loop::now();
    place.terminated = timestamp(0);
    ++place.starts;
}

endpoint world::clients_of(std::uint32_t node) const {
    return {"127.0.0.1", m_nodes[node]->client_port};
}

// --- VMs ---

void world::place_vm(std::uint32_t number) {
    vm_place& place = m_vms[number];
    fakes::task_machine::settings options;
    options.name = "v" + std::to_string(number + 1);
    options.pool = pool;
    options.run_time = run_times.at(number % run_times.size());
    options.down_time = vm_down_time;
    options.clock_rate = number % 2 == 0 ? slow_clock : 1;
    place.machine = std::make_unique<fakes::task_machine>(m_loop, m_store, options);
    place.machine->on_life([this, &place](const endpoint& server) {
        if (place.link == nullptr) {
            place.link = std::make_unique<fault_proxy>(m_loop, server);
            place.machine->register_port(place.link->listen());
        }
        place.link->set_server(server);
    });
    if (!place.machine->start()) {
        m_problems.emplace_back("a stand-in VM can't listen");
    }
}

void world::shrink_vm(vm_place& place, bool on) {
    place.shrunk += on ? 1 : -1;
    place.machine->set_capacity(place.shrunk > 0 ? shrunk_vm : whole_vm);
}

void world::set_failing(const vm_place& place, bool on) {
    if (place.machine->vm() != nullptr) {
        place.machine->vm()->set_failing(on);
    }
}

void world::delay_orders(const vm_place& place) {
    if (place.machine->vm() != nullptr) {
        place.machine->vm()->delay_starts(late_starts, late_start_time);
        place.machine->vm()->lose_stops(lost_stops);
    }
}

std::vector<vm_run> world::runs() const {
    std::vector<vm_run> result;
    for (const vm_place& place : m_vms) {
        std::ranges::copy(place.machine->runs(), std::back_inserter(result));
    }
    return result;
}

std::vector<fakes::vm_capacity> world::capacities() const {
    std::vector<fakes::vm_capacity> result;
    for (const vm_place& place : m_vms) {
        std::ranges::copy(place.machine->capacities(), std::back_inserter(result));
    }
    return result;
}

// --- Owners ---

/// A claim writes the token's key and the owner's name together; the name comes last.
void world::note_owner(const std::string& key) {
    const std::string duty = node::pool_duty(std::string(pool));
    if (key != node::liveness_prefix + duty) {
        return;
    }
    for (const auto& place : m_nodes) {
        if (m_store.holds(key, place->id)) {
            m_owners[m_store.revision_of(node::owner_prefix + duty)] = place.get();
        }
    }
}

bool world::in_touch(std::int64_t token, timestamp at, milliseconds contact) const {
    const auto owner = m_owners.find(token);
    return owner != m_owners.end() && std::ranges::none_of(m_troubles, [&](const trouble& item) {
               const bool concerns = item.node == nullptr || item.node == owner->second;
               return concerns && item.from <= at && (!item.until || *item.until + contact >= at);
           });
}

/// Faults of VMs and of the links to them, and new configurations, keep no owner from acting rightly.
void world::note_trouble(const planned_fault& fault) {
    const bool of_link =
        (fault.kind >= fault_kind::store_link_delay && fault.kind <= fault_kind::store_link_silent) ||
        fault.kind == fault_kind::client_link_reset;
    const bool of_store =
        (fault.kind >= fault_kind::store_silent && fault.kind <= fault_kind::store_leases_lapse) ||
        fault.kind == fault_kind::store_holds_jobs;
    if (of_link || is_node_fault(fault.kind)) {
        const node_place* node = m_nodes[fault.target % m_settings.nodes].get();
        m_troubles.push_back({fault, node, event_loop::now(), std::nullopt});
    } else if (of_store) {
        m_troubles.push_back({fault, nullptr, event_loop::now(), std::nullopt});
    }
}

void world::end_trouble(const planned_fault& fault) {
    const auto open = std::ranges::find_if(
        m_troubles, [&](const trouble& item) { return item.fault == fault && !item.until; });
    if (open != m_troubles.end()) {
        open->until = event_loop::now();
    }
}

// --- Faults ---

fault_proxy* world::link_of(const planned_fault& fault) {
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
        return m_vms[fault.target % m_settings.vms].link.get();
    default:
        return nullptr;
    }
}

void world::apply_to_node(node_place& place, fault_kind kind) {
    if (kind == fault_kind::node_slow) {
        ++place.slowed;
        return;
    }
    if (kind == fault_kind::node_pause) {
        ++place.paused;
        place.process->signal(SIGSTOP);
        return;
    }
    ++place.held_down;
    place.ending = true;
    if (kind == fault_kind::node_kill) {
        place.process->kill();
    } else {
        place.terminated = place.terminated == timestamp(0) ? event_loop::now() : place.terminated;
        place.process->signal(SIGTERM);
    }
}

void world::mend_node(node_place& place, fault_kind kind) {
    if (kind != fault_kind::node_pause && kind != fault_kind::node_slow) {
        --place.held_down;
        return;
    }
    --(kind == fault_kind::node_pause ? place.paused : place.slowed);
    if (place.paused == 0) {
        place.process->signal(SIGCONT);
        place.between_turns = false;
        place.terminated = place.terminated == timestamp(0) ? timestamp(0) : event_loop::now();
    }
}

/// A program that has not begun to run yet is ended by the signal, whatever it does later.
void world::reload(const node_place& place) {
    if (place.paused == 0 && event_loop::now() - place.started >= start_time) {
        place.process->signal(SIGHUP);
    }
}

void world::take_turns() {
    const timestamp now = event_loop::now();
    for (const auto& place : m_nodes) {
        if (place->slowed == 0 || place->paused > 0 || (place->between_turns && now < place->turns_at)) {
            continue;
        }
        place->between_turns = !place->between_turns;
        place->turns_at = now + slow_period;
        place->process->signal(place->between_turns ? SIGSTOP : SIGCONT);
    }
}

void world::set_store(fault_kind kind, bool on) {
    std::uint32_t& count = kind == fault_kind::store_silent ? m_silent : m_busy;
    count += on ? 1 : -1;
    if (kind == fault_kind::store_silent) {
        m_store.set_silent(m_silent > 0);
    } else {
        m_store.set_busy(m_busy > 0);
    }
}

/// Entries, whose calls to the owner then have no answer in time, leave jobs in the inbox, and nobody can
/// take them from there.
void world::hold_jobs(bool on) {
    m_holding += on ? 1 : -1;
    m_store.hold_writes(m_holding > 0 ? node::job_prefix(std::string(pool)) : std::string());
}

void world::apply(const planned_fault& fault) {
    note_trouble(fault);
    if (fault_proxy* link = link_of(fault)) {
        ++m_link_faults[link];
        link->set_mode(mode_of(fault.kind), link_delay);
        return;
    }
    if (is_node_fault(fault.kind)) {
        apply_to_node(*m_nodes[fault.target % m_settings.nodes], fault.kind);
        return;
    }
    switch (fault.kind) {
    case fault_kind::vm_crash:
        vm_of(fault).machine->hold_down(true);
        vm_of(fault).machine->crash();
        return;
    case fault_kind::vm_shrinks:
        shrink_vm(vm_of(fault), true);
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
        reload(*m_nodes[fault.target % m_settings.nodes]);
        return;
    case fault_kind::store_silent:
    case fault_kind::store_busy:
        set_store(fault.kind, true);
        return;
    case fault_kind::store_holds_jobs:
        hold_jobs(true);
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
        m_store.lapse_leases();
        return;
    default:
        m_version += 2;
        configure();
        return;
    }
}

void world::mend(const planned_fault& fault) {
    end_trouble(fault);
    if (fault_proxy* link = link_of(fault)) {
        if (--m_link_faults[link] == 0) {
            link->set_mode(link_mode::pass);
        }
    } else if (is_node_fault(fault.kind)) {
        mend_node(*m_nodes[fault.target % m_settings.nodes], fault.kind);
    } else if (fault.kind == fault_kind::vm_crash) {
        vm_of(fault).machine->hold_down(false);
    } else if (fault.kind == fault_kind::vm_shrinks) {
        shrink_vm(vm_of(fault), false);
    } else if (fault.kind == fault_kind::vm_fails_runs) {
        set_failing(vm_of(fault), false);
    } else if (fault.kind == fault_kind::vm_drains) {
        vm_of(fault).machine->crash();
    } else if (fault.kind == fault_kind::store_silent || fault.kind == fault_kind::store_busy) {
        set_store(fault.kind, false);
    } else if (fault.kind == fault_kind::store_holds_jobs) {
        hold_jobs(false);
    } else if (fault.kind == fault_kind::store_lost_answers) {
        m_store.lose_answers(0);
    } else if (fault.kind == fault_kind::store_late_writes) {
        m_store.delay_writes(0);
    }
}

void world::tend() {
    const timestamp now = event_loop::now();
    for (const vm_place& place : m_vms) {
        place.machine->tend();
    }
    for (const auto& place : m_nodes) {
        const bool running = place->process->running();
        if (!running && !place->ending) {
            m_problems.push_back(place->id + " ended by itself, code " +
                                 std::to_string(place->process->exit_code()));
        }
        const bool overdue = place->terminated != timestamp(0) && place->paused + place->slowed == 0 &&
                             now - place->terminated > grace + end_slack;
        if (running && overdue) {
            m_problems.push_back(place->id + " did not stop within its grace period");
            place->process->kill();
        }
        if (!running && place->held_down == 0) {
            start_node(*place);
            if (place->paused > 0) {
                place->process->signal(SIGSTOP);
            }
        }
    }
}

} // namespace siskinpaddle::soak
