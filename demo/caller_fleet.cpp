#include "demo/caller_fleet.hpp"

#include <algorithm>

namespace siskinpaddle::demo {

namespace {

constexpr milliseconds check_interval = 100ms;
constexpr int max_balancer_attempts = 4;

} // namespace

caller_fleet::caller_fleet(event_loop& loop, std::vector<endpoint> entries, std::vector<caller_path> paths,
                           milliseconds interval)
    : m_entries(std::move(entries)), m_paths(std::move(paths)), m_interval(interval), m_client(loop),
      m_random(7), m_send_timer(loop.make_timer([this] { send_next(); })),
      m_check_timer(loop.make_timer([this] { check_entries(); })) {}

void caller_fleet::start() {
    send_next();
}

std::size_t caller_fleet::count_pending() const {
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const auto& item) {
        return item.second.outcome == caller_outcome::pending;
    }));
}

std::size_t caller_fleet::count_ready_entries() const {
    return m_config_numbers.size();
}

void caller_fleet::check_entries() {
    for (const endpoint& entry : m_entries) {
        http_call call;
        call.to = entry;
        call.target = "/siskinpaddle/health";
        call.timeout = 300ms;
        call.fresh_connection = true;
        m_client.send(std::move(call), [this, entry](const http_answer& answer) {
            findings problems;
            const boost::json::value body = parse_json(answer.body, "", problems);
            if (answer.status == exchange_status::answered && answer.code == 200 && problems.empty()) {
                json_object object(body, "", problems);
                m_config_numbers[entry] = object.number("config", {0, INT64_MAX});
            } else {
                m_config_numbers.erase(entry);
            }
        });
    }
    m_check_timer->start(check_interval);
}

void caller_fleet::send_next() {
    if (m_stopped) {
        return;
    }
    m_send_timer->start(m_interval);
    if (m_config_numbers.empty()) {
        return;
    }
    const caller_path& path = m_paths[m_next_id % m_paths.size()];
    const std::string id = "r" + std::to_string(m_next_id++);
    m_requests[id] = {path.pool, path.is_repeatable, caller_outcome::pending, true};
    send(id, path, 1);
}

void caller_fleet::send(const std::string& id, const caller_path& path, int attempt) {
    if (m_config_numbers.empty()) {
        m_requests[id].outcome = caller_outcome::not_run;
        return;
    }
    http_call call;
    call.to =
        std::next(m_config_numbers.begin(), static_cast<long>(m_random.next_below(m_config_numbers.size())))
            ->first;
    call.method = path.method;
    call.target = path.target;
    call.headers.add("Caller-Request", id);
    call.headers.add("Idempotency-Key", id);
    call.body = path.method == "GET" ? "" : "body of " + id;
    call.timeout = 8s;
    call.fresh_connection = true;
    m_client.send(std::move(call), [this, id, path, attempt](const http_answer& answer) {
        // A load balancer tries another entry when a connection can't be made, since nothing was sent.
        if (answer.status == exchange_status::connect_failed && attempt < max_balancer_attempts) {
            send(id, path, attempt + 1);
            return;
        }
        record_answer(id, answer);
    });
}

void caller_fleet::record_answer(const std::string& id, const http_answer& answer) {
    request_record& item = m_requests[id];
    const std::string_view outcome = answer.headers.get("Siskinpaddle-Outcome");
    if (answer.status == exchange_status::connect_failed || outcome == "not-run") {
        item.outcome = caller_outcome::not_run;
    } else if (answer.status != exchange_status::answered || outcome == "unknown") {
        item.outcome = caller_outcome::unknown;
    } else {
        item.outcome = caller_outcome::answered;
        item.answer_matches = answer.code == 200 && answer.body.starts_with(id + " ");
    }
}

} // namespace siskinpaddle::demo
