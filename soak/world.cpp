#include "soak/world.hpp"

#include "net/free_port.hpp"
#include "node/keys.hpp"
#include "platform/platform.hpp"

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
/// The platform takes a VM that went silent off its list after three heartbeats.
constexpr milliseconds delist_after = 4500ms;
constexpr int lost_answers = 4;
constexpr int late_writes = 2;
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
    m_vms.resize(m_settings.vms);
    for (std::uint32_t i = 0; i < m_settings.vms; ++i) {
        start_vm(i);
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
    configuration.pools = {{std::string(pool), false}};
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
    place.terminated = timestamp(0);
    ++place.starts;
}

endpoint world::clients_of(std::uint32_t node) const {
    return {"127.0.0.1", m_nodes[node]->client_port};
}

// --- VMs ---

void world::start_vm(std::uint32_t number) {
    vm_place& place = m_vms[number];
    const std::string name = "v" + std::to_string(number + 1) + "-" + std::to_string(++place.lives);
    place.vm = std::make_unique<fakes::task_vm>(m_loop, name, run_times.at(number % run_times.size()));
    place.vm->set_clock_rate(number % 2 == 0 ? slow_clock : 1);
    if (!place.vm->listen({"127.0.0.1", 0})) {
        m_problems.push_back("a stand-in VM can't listen");
    }
    const endpoint server{"127.0.0.1", place.vm->port()};
    if (place.link == nullptr) {
        place.link = std::make_unique<fault_proxy>(m_loop, server);
        place.port = place.link->listen();
    }
    place.link->set_server(server);
    m_store.put(platform::vm_key(name), place.vm->registration(std::string(pool), place.port));
}

void world::crash_vm(std::uint32_t number) {
    vm_place& place = m_vms[number];
    if (place.vm == nullptr) {
        return;
    }
    for (fakes::task_vm::run_record run : place.vm->runs()) {
        if (run.ended == timestamp(0)) {
            run.ended = event_loop::now();
            run.how = "crashed";
        }
        m_past_runs.push_back({place.vm->incarnation(), run});
    }
    m_to_delist[place.vm->incarnation()] = event_loop::now() + delist_after;
    place.vm.reset();
}

std::vector<vm_run> world::runs() const {
    std::vector<vm_run> result = m_past_runs;
    for (const vm_place& place : m_vms) {
        if (place.vm != nullptr) {
            for (const fakes::task_vm::run_record& run : place.vm->runs()) {
                result.push_back({place.vm->incarnation(), run});
            }
        }
    }
    return result;
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
        ++m_vms[fault.target % m_settings.vms].held_down;
        crash_vm(fault.target % m_settings.vms);
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
    if (fault_proxy* link = link_of(fault)) {
        if (--m_link_faults[link] == 0) {
            link->set_mode(link_mode::pass);
        }
    } else if (is_node_fault(fault.kind)) {
        mend_node(*m_nodes[fault.target % m_settings.nodes], fault.kind);
    } else if (fault.kind == fault_kind::vm_crash) {
        const std::uint32_t number = fault.target % m_settings.vms;
        if (--m_vms[number].held_down == 0) {
            start_vm(number);
        }
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
    std::erase_if(m_to_delist, [&](const auto& item) {
        if (now < item.second) {
            return false;
        }
        m_store.remove(platform::vm_key(item.first));
        return true;
    });
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
