#include "deployment.hpp"

#include "net/free_port.hpp"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <string_view>

namespace siskinpaddle::review {

namespace {

const std::string client_host = "callers.example";
constexpr milliseconds client_deadline{3000};
constexpr milliseconds ready_limit{10'000};
constexpr milliseconds poll_interval{20};
constexpr milliseconds vm_down_time{2000};
/// Interval at which registrations of VMs that have ended are checked for their removal.
constexpr milliseconds registration_interval{250};

std::string to_address(const endpoint& where) {
    return where.address + ":" + std::to_string(where.port);
}

endpoint free_endpoint() {
    return {"127.0.0.1", tests::free_port()};
}

} // namespace

bool read_options(int argc, char** argv, case_options& options) {
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string_view name = argv[i];
        const std::string value = argv[i + 1];
        if (name == "--node") {
            options.node_program = value;
        } else if (name == "--folder") {
            options.folder = value;
        } else if (name == "--record") {
            options.record_path = value;
        } else if (name == "--trouble") {
            options.trouble = value != "0";
            options.part = value == "0" || value == "1" ? std::string() : value;
        }
    }
    if (options.node_program.empty() || options.folder.empty() || options.record_path.empty()) {
        std::cerr << "usage: " << argv[0]
                  << " --node PROGRAM --folder DIR --record FILE [--trouble 0|1|PART]\n";
        return false;
    }
    return true;
}

jobs::queue_settings make_queue(const std::string& name, const std::string& pool) {
    constexpr std::uint32_t max_attempts = 4;
    jobs::queue_settings queue;
    queue.name = name;
    queue.host = client_host;
    queue.prefix = "/" + name + "/";
    queue.pool = pool;
    queue.max_attempts = max_attempts;
    queue.stretch_factor = 20;
    queue.target_latency = 20s;
    return queue;
}

std::string job_path(const std::string& queue, const std::string& job) {
    return "/" + queue + "/" + job;
}

deployment::deployment(case_options options)
    : m_options(std::move(options)), m_began(event_loop::now()), m_store(m_loop),
      m_machine_server(
          m_loop, {},
          [this](const std::shared_ptr<server_request>& request) { answer_machine_call(request); }),
      m_client(m_loop), m_registration_timer(m_loop.make_timer([this] { remove_expired_registrations(); })),
      m_record(m_options.record_path, std::ios::trunc) {
    if (!m_store.listen({"127.0.0.1", 0}) || !m_machine_server.listen({"127.0.0.1", 0})) {
        throw std::runtime_error("a stand-in can't listen");
    }
    note(std::string("trouble: ") + (m_options.trouble ? "yes" : "no") +
         (m_options.part.empty() ? "" : ", only " + m_options.part));
    m_registration_timer->start(registration_interval);
}

deployment::~deployment() = default;

/// The platform removes the entry of a VM that has been silent for three heartbeats.
void deployment::remove_expired_registrations() {
    m_registration_timer->start(registration_interval);
    for (const auto& [name, state] : m_machines) {
        state.item->remove_expired_registrations();
    }
}

void deployment::add_machines(const std::string& pool, int count, milliseconds run_time) {
    for (int i = 0; i < count; ++i) {
        fakes::task_machine::settings settings;
        settings.name = pool + "-m" + std::to_string(i + 1);
        settings.pool = pool;
        settings.run_time = run_time;
        settings.down_time = vm_down_time;
        auto item = std::make_unique<fakes::task_machine>(m_loop, m_store, settings);
        if (!item->start()) {
            throw std::runtime_error("a stand-in VM can't listen");
        }
        m_machines[settings.name] = {std::move(item), pool};
    }
}

void deployment::publish(std::int64_t version, const std::vector<jobs::queue_settings>& queues,
                         const std::vector<std::string>& pools) {
    jobs::fleet_configuration configuration;
    configuration.version = version;
    configuration.queues = queues;
    for (const std::string& pool : pools) {
        configuration.pools.push_back({pool, false, true});
    }
    m_store.put(std::string(platform::configuration_key), platform::encode_configuration(configuration));
    std::string text = "configuration " + std::to_string(version) + " acknowledged:";
    for (const jobs::queue_settings& queue : queues) {
        text += " " + queue.prefix + " -> " + queue.pool;
    }
    note(text);
}

/// Lists all machines as up in their pools. No machine has to move or to have its upkeep in the cases, so
/// other calls name no machine of this fleet.
void deployment::answer_machine_call(const std::shared_ptr<server_request>& request) const {
    if (path_of_target(request->target()) != "/v1/machines") {
        request->reply(400, {}, "{}");
        return;
    }
    boost::json::array list;
    for (const auto& [name, state] : m_machines) {
        const fakes::task_vm* vm = state.item->vm();
        list.push_back(boost::json::object{{"machine", name},
                                           {"pool", state.pool},
                                           {"state", vm == nullptr ? "down" : "up"},
                                           {"zone", "z"},
                                           {"labels", {"a", "r1"}},
                                           {"capacity", {{"cpu", 4000}, {"mem_mb", 8192}, {"gpu", 0}}},
                                           {"id", vm == nullptr ? std::string() : vm->incarnation()}});
    }
    http_headers headers;
    headers.add("Content-Type", "application/json");
    request->reply(200, headers, boost::json::serialize(boost::json::object{{"machines", std::move(list)}}));
}

void deployment::add_node(int number) {
    node_state state;
    state.id = "n" + std::to_string(number + 1);
    state.clients = free_endpoint();
    state.readiness = free_endpoint();
    state.settings = m_options.folder + "/" + state.id + ".json";
    state.log = m_options.folder + "/" + state.id + ".log";
    const boost::json::object document{{"id", state.id},
                                       {"availability_zone", "z" + std::to_string(number)},
                                       {"clients", to_address(state.clients)},
                                       {"readiness", to_address(state.readiness)},
                                       {"address", "127.0.0.1"},
                                       {"peer_port", tests::free_port()},
                                       {"metrics_port", tests::free_port()},
                                       {"store", to_address({"127.0.0.1", m_store.port()})},
                                       {"machines", to_address({"127.0.0.1", m_machine_server.port()})},
                                       {"advice", ""},
                                       {"vm_lease_ms", 10'000},
                                       {"order_quiet_ms", 3000},
                                       {"grace_s", 6},
                                       {"keep_ended_s", 120},
                                       {"stop_ms", 400},
                                       {"capacity_age_ms", contact_time.count()},
                                       {"upkeep_s", 2},
                                       {"move_s", 1.5},
                                       {"config_apply_ms", config_apply_time.count()},
                                       {"machine_orders_per_s", 64.0},
                                       {"processor_share", 0.25},
                                       {"link_mbps", 1000.0}};
    std::ofstream(state.settings) << boost::json::serialize(document);
    m_nodes.push_back(std::move(state));
    restart_node(number);
}

bool deployment::start(int nodes) {
    for (int i = 0; i < nodes; ++i) {
        add_node(i);
    }
    const timestamp limit = event_loop::now() + ready_limit;
    for (const node_state& node : m_nodes) {
        int code = 0;
        while (code != 200 && event_loop::now() < limit) {
            http_call probe;
            probe.to = node.readiness;
            probe.target = "/v1/readyz";
            probe.fresh_connection = true;
            code = exchange(std::move(probe)).code;
            wait(poll_interval);
        }
        if (code != 200) {
            note(node.id + " does not get ready");
            return false;
        }
    }
    note("all nodes are ready");
    return true;
}

void deployment::wait(milliseconds time) {
    const auto timer = m_loop.make_timer([this] { m_loop.stop(); });
    timer->start(time);
    m_loop.run();
}

bool deployment::wait_until(const std::function<bool()>& condition, milliseconds limit) {
    const timestamp end = event_loop::now() + limit;
    while (!condition()) {
        if (event_loop::now() >= end) {
            return false;
        }
        wait(poll_interval);
    }
    return true;
}

http_answer deployment::exchange(http_call call) {
    http_answer result;
    bool is_done = false;
    m_client.send(std::move(call), [&](http_answer answer) {
        result = std::move(answer);
        is_done = true;
        m_loop.stop();
    });
    while (!is_done) {
        m_loop.run();
    }
    return result;
}

int deployment::call(int node, const std::string& method, const std::string& path, const std::string& body) {
    http_call call;
    call.to = m_nodes.at(node).clients;
    call.method = method;
    call.target = path;
    call.headers.add("Host", client_host);
    call.headers.add("Deadline-Ms", std::to_string(client_deadline.count()));
    if (!body.empty()) {
        call.headers.add("Content-Type", "application/json");
    }
    call.body = body;
    call.timeout = client_deadline;
    call.fresh_connection = true;
    const milliseconds sent = now();
    const http_answer answer = exchange(std::move(call));
    const int code = answer.status == exchange_status::answered ? answer.code : 0;
    m_last_body = answer.body;
    note("client, sent at " + std::to_string(sent.count()) + ": " + method + " " + path + " at " +
         m_nodes.at(node).id + (body.empty() ? "" : " " + body) + " -> " +
         (code == 0 ? "no answer" : std::to_string(code)) + " " + m_last_body);
    return code;
}

void deployment::signal_node(int node, int signal_number) {
    note("signal " + std::to_string(signal_number) + " to " + m_nodes.at(node).id);
    m_nodes.at(node).process->signal(signal_number);
}

void deployment::restart_node(int node) {
    node_state& state = m_nodes.at(node);
    state.process = std::make_unique<soak::child_process>(
        m_options.node_program, std::vector<std::string>{"--settings", state.settings}, state.log);
    note("start of " + state.id);
}

std::vector<observed_run> deployment::runs() const {
    std::vector<observed_run> result;
    for (const auto& [name, state] : m_machines) {
        for (const fakes::vm_run& item : state.item->runs()) {
            const bool is_running = item.run.ended_at == timestamp(0);
            const milliseconds ended =
                is_running ? now() : std::chrono::duration_cast<milliseconds>(item.run.ended_at - m_began);
            result.push_back({item.vm, item.run.task, item.run.attempt, item.run.started_at - m_began, ended,
                              is_running, item.run.outcome});
        }
    }
    std::ranges::sort(result, {}, &observed_run::started);
    return result;
}

std::vector<observed_run> deployment::running(const std::string& task) const {
    std::vector<observed_run> found = runs();
    std::erase_if(found, [&](const observed_run& item) { return item.task != task || !item.is_running; });
    return found;
}

void deployment::note(const std::string& text) {
    constexpr int time_width = 7;
    m_record << std::setw(time_width) << now().count() << " ms  " << text << std::endl;
}

void deployment::note_runs() {
    for (const observed_run& item : runs()) {
        note("run of " + item.task + " attempt " + std::to_string(item.attempt) + " on " + item.vm +
             ": from " + std::to_string(item.started.count()) + " to " +
             (item.is_running ? "now, at work" : std::to_string(item.ended.count()) + ", " + item.outcome));
    }
}

} // namespace siskinpaddle::review
