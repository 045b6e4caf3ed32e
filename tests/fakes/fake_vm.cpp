#include "fakes/fake_vm.hpp"

namespace siskinpaddle::fakes {

namespace {

constexpr milliseconds poll_interval = 100ms;

} // namespace

fake_vm::fake_vm(event_loop& loop, fake_vm_settings settings)
    : m_loop(loop), m_settings(std::move(settings)), m_client(loop),
      m_poll_timer(loop.make_timer([this] { poll(); })) {
    if (!m_settings.log_path.empty()) {
        m_log.open(m_settings.log_path, std::ios::app);
    }
}

bool fake_vm::start() {
    poll();
    return open_servers();
}

bool fake_vm::open_servers() {
    http_server_limits limits;
    limits.max_connections = 64;
    m_target = std::make_unique<http_server>(
        m_loop, limits, [this](const std::shared_ptr<server_request>& request) { handle_request(request); });
    m_agent = std::make_unique<http_server>(
        m_loop, http_server_limits{},
        [this](const std::shared_ptr<server_request>& request) { handle_task_calls(request); });
    return m_target->listen(m_settings.target) &&
           m_agent->listen({m_settings.target.address, m_settings.agent_port});
}

void fake_vm::log(std::string_view event, const std::string& id) {
    if (m_log.is_open()) {
        m_log << event << ' ' << id << ' ' << (m_pool.empty() ? "-" : m_pool) << std::endl;
    }
}

void fake_vm::handle_request(const std::shared_ptr<server_request>& request) {
    http_headers headers;
    headers.add("Target-Pool", m_pool);
    if (path_of_target(request->target()) == "/health") {
        request->reply(200, headers, "");
        return;
    }
    if (on_request) {
        on_request(request);
        return;
    }
    if (m_active_requests.size() >= m_settings.slots) {
        headers.add("Target-Refusal", "not-run");
        request->reply(503, headers, "");
        return;
    }
    const std::string id(request->headers().get("Caller-Request"));
    const std::string_view requested_time = request->headers().get("Work-Ms");
    const milliseconds time =
        requested_time.empty() ? m_settings.service_time
                               : milliseconds(std::strtoll(std::string(requested_time).c_str(), nullptr, 10));
    ++m_runs[id];
    log("run", id);
    m_active_requests.push_back({request, id, nullptr});
    const auto item = std::prev(m_active_requests.end());
    item->done_timer = m_loop.make_timer([this, item, headers] {
        log("end", item->id);
        item->request->reply(200, headers, item->id + " " + item->request->body());
        // The request owns this timer, which must not be destroyed within its own callback.
        m_loop.post([this, alive = m_lifetime.weak_token(), item] {
            if (!alive.expired()) {
                m_active_requests.erase(item);
            }
        });
    });
    item->done_timer->start(time);
}

task_report fake_vm::apply(const task_call& call, milliseconds lease) {
    const timestamp now = event_loop::now();
    auto found = m_tasks.find(call.job);
    if (found != m_tasks.end() && found->second.epoch > call.epoch) {
        return {call.job, call.epoch, task_state::absent, {}};
    }
    const bool known = found != m_tasks.end() && found->second.epoch == call.epoch;
    if (!known && call.order != task_order::run) {
        // Recorded as stopped, so that a start that arrives after the stop doesn't run the task.
        m_tasks[call.job] = {call.epoch, task_state::stopped, now, now, {}};
        return {call.job, call.epoch, task_state::absent, {}};
    }
    if (!known) {
        m_tasks[call.job] = {call.epoch, task_state::running, now + milliseconds(call.expected_ms),
                             now + lease, call.size};
        log("task", call.job + "/" + std::to_string(call.epoch));
    }
    task& item = m_tasks[call.job];
    if (item.state == task_state::running && call.order != task_order::run) {
        item.state = task_state::stopped;
    }
    if (item.state == task_state::running && m_settings.fail_tasks) {
        item.state = task_state::failed;
    }
    if (item.state == task_state::running && item.ends_at <= now) {
        item.state = task_state::done;
    }
    if (item.state == task_state::running && item.lease_until < now) {
        item.state = task_state::stopped;
    }
    item.lease_until = now + lease;
    return {call.job, call.epoch, item.state, item.used};
}

void fake_vm::handle_task_calls(const std::shared_ptr<server_request>& request) {
    findings problems;
    milliseconds lease{0};
    const std::vector<task_call> calls = decode_task_calls(request->body(), lease, problems);
    if (!problems.empty()) {
        request->reply(400, {}, problems.to_string());
        return;
    }
    worker_answer answer{m_boot, {}};
    for (const task_call& call : calls) {
        answer.tasks.push_back(apply(call, lease));
    }
    request->reply(200, {}, encode_worker_answer(answer));
}

void fake_vm::poll() {
    m_poll_timer->start(poll_interval);
    if (m_rebooting) {
        return;
    }
    http_call call;
    call.to = m_settings.platform;
    call.method = "POST";
    call.target = "/vm/" + m_settings.id;
    call.body =
        boost::json::serialize(boost::json::object{{"availability_zone", m_settings.availability_zone},
                                                   {"rack", m_settings.rack},
                                                   {"address", m_settings.target.address},
                                                   {"port", m_settings.target.port},
                                                   {"agent_port", m_settings.agent_port},
                                                   {"cores", m_settings.cores},
                                                   {"memory_mb", m_settings.memory_mb},
                                                   {"boot", m_boot},
                                                   {"done_operation", m_done_operation}});
    m_client.send(std::move(call), [this](const http_answer& answer) {
        findings problems;
        const boost::json::value body = parse_json(answer.body, "", problems);
        if (answer.status != exchange_status::answered || m_rebooting || !problems.empty()) {
            return;
        }
        json_object object(body, "", problems);
        const std::string operation = object.text("operation");
        if (!operation.empty() && operation != m_done_operation) {
            reboot(operation, object.text("pool"));
        }
    });
}

void fake_vm::reboot(const std::string& operation, const std::string& pool) {
    m_rebooting = true;
    for (const active_request& item : m_active_requests) {
        log("cut", item.id);
    }
    m_active_requests.clear();
    m_tasks.clear();
    m_reboot_timer = m_loop.make_timer([this, operation, pool] {
        m_pool = pool;
        ++m_boot;
        m_done_operation = operation;
        m_rebooting = false;
        (void)open_servers();
    });
    // The servers must not be destroyed within their own callbacks.
    m_loop.post([this, alive = m_lifetime.weak_token()] {
        if (alive.expired()) {
            return;
        }
        m_target.reset();
        m_agent.reset();
        m_reboot_timer->start(m_settings.reboot_time);
    });
}

} // namespace siskinpaddle::fakes
