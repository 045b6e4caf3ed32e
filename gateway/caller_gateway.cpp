#include "gateway/caller_gateway.hpp"

#include <random>

namespace siskinpaddle {

namespace {

constexpr milliseconds tick_interval = 20ms;
constexpr std::string_view health_path = "/siskinpaddle/health";

http_server_limits server_limits(const entry_settings& settings) {
    http_server_limits limits;
    limits.max_body = static_cast<std::size_t>(settings.max_body_bytes);
    limits.max_connections = static_cast<std::size_t>(settings.max_connections);
    return limits;
}

http_client_limits client_limits(const entry_settings& settings) {
    http_client_limits limits;
    limits.max_body = static_cast<std::size_t>(settings.max_body_bytes);
    return limits;
}

} // namespace

caller_gateway::caller_gateway(event_loop& loop, const entry_settings& settings, state_task& state,
                               claim_task& claims, metrics& counters)
    : m_loop(loop), m_settings(settings), m_state(state), m_claims(claims), m_metrics(counters),
      m_server(loop, server_limits(settings),
               [this](std::shared_ptr<server_request> from) { receive(std::move(from)); }),
      m_client(loop, client_limits(settings)), m_targets(settings.availability_zone, settings.routing),
      m_admission(settings.max_requests, settings.admission_enabled), m_random(std::random_device()()),
      m_next_id(m_random.next() >> 16U << 16U), m_timer(loop.make_timer([this] { tick(); })) {
    m_state.on_change([this](const std::string&) { apply_values(); });
    m_state.add_heartbeat_filler([this](heartbeat& message) {
        message.busy_vms = m_targets.busy_vms();
        message.suspect_vms = m_targets.suspect_vms();
    });
}

bool caller_gateway::listen() {
    return m_server.listen(m_settings.callers);
}

void caller_gateway::start() {
    tick();
}

void caller_gateway::drain() {
    m_draining = true;
    m_server.drain();
}

bool caller_gateway::ready() const {
    return !m_draining && m_state.is_registered() && m_state.config().number > 0;
}

void caller_gateway::on_health(const std::string& vm, bool good) {
    m_targets.on_health_check(vm, good, event_loop::now());
}

void caller_gateway::apply_values() {
    m_targets.apply(m_state.config(), m_state.fleet(), event_loop::now());
    m_admission.set_member_count(
        std::max<std::int64_t>(1, static_cast<std::int64_t>(m_state.config().members.size())));
    for (const std::string& pool : m_admission.pools_with_waiting()) {
        if (!m_targets.has_target(pool)) {
            for (const std::uint64_t id : m_admission.remove_waiting(pool)) {
                give_up(id, answer_code::no_target);
            }
        }
    }
}

bool caller_gateway::paused() {
    if (m_pauses.check(event_loop::now()) == pause_verdict::none) {
        return false;
    }
    if (!m_refreshing) {
        m_refreshing = true;
        log_event(event_id::process_paused);
        m_state.refresh([this](bool answered) {
            m_refreshing = false;
            if (answered && m_state.is_registered()) {
                m_pauses.mark_refreshed();
            }
        });
    }
    return true;
}

void caller_gateway::tick() {
    (void)paused();
    for (const std::uint64_t id : m_admission.remove_expired(event_loop::now())) {
        give_up(id, answer_code::deadline_passed_in_queue);
    }
    for (const std::string& pool : m_admission.pools_with_waiting()) {
        pump(pool);
    }
    m_timer->start(tick_interval);
}

void caller_gateway::answer_health(server_request& from) const {
    http_headers headers;
    headers.add("Content-Type", "application/json");
    const bool good = ready();
    const boost::json::object body{{"ready", good},
                                   {"registered", m_state.is_registered()},
                                   {"draining", m_draining},
                                   {"config", m_state.config().number},
                                   {"fleet", m_state.fleet().revision}};
    from.reply(good ? 200 : 503, headers, boost::json::serialize(body));
}

bool caller_gateway::answer_unready(server_request& from) {
    if (m_draining) {
        reply_own(from, answer_code::shutting_down, 0, 0);
        return true;
    }
    if (!ready() || paused()) {
        reply_own(from, answer_code::not_ready, 0, 0);
        return true;
    }
    return false;
}

void caller_gateway::receive(std::shared_ptr<server_request> from) {
    if (path_of_target(from->target()) == health_path) {
        answer_health(*from);
        return;
    }
    m_metrics.increment("requests");
    if (answer_unready(*from)) {
        return;
    }
    const route_settings* route = find_route(m_state.config(), path_of_target(from->target()));
    if (route == nullptr) {
        reply_own(*from, answer_code::no_route, 0, 0);
        return;
    }
    if (const findings problems = check_request(*from); !problems.empty()) {
        reply_own(*from, answer_code::bad_request, 0, 0);
        return;
    }
    caller_request request;
    request.id = m_next_id++;
    request.pool = m_state.config().services.at(route->service).pool;
    request.member = m_state.config().pools.at(request.pool).member;
    request.repeatable = is_repeatable(route->repeatable, from->method());
    request.arrived = event_loop::now();
    request.deadline = request.arrived + time_allowed(*from, *route);
    if (!request.repeatable && from->headers().has(idempotency_header)) {
        request.key = make_claim_key(request.pool, from->headers().get(idempotency_header));
        request.nonce = m_claims.make_nonce();
    }
    request.from = std::move(from);
    admit(std::move(request));
}

pool_load caller_gateway::load_of(const std::string& pool) const {
    const timestamp now = event_loop::now();
    return {m_targets.capacity(pool, now), m_targets.in_flight(pool),
            m_state.config().pools.at(pool).max_queue, m_targets.has_target(pool)};
}

void caller_gateway::admit(caller_request request) {
    m_budgets.try_emplace(request.pool, static_cast<double>(m_settings.retry_percent) / 100);
    m_budgets.at(request.pool).on_request();
    const admission_verdict verdict =
        m_admission.admit({request.id, request.pool, request.member, request.deadline}, load_of(request.pool),
                          event_loop::now());
    if (verdict.action == admission_action::refuse) {
        reply_own(*request.from, verdict.code, verdict.retry_after_s, request.id);
        return;
    }
    const std::uint64_t id = request.id;
    m_requests.emplace(id, std::move(request));
    if (verdict.action == admission_action::send) {
        dispatch(id);
    }
}

void caller_gateway::pump(const std::string& pool) {
    while (m_admission.has_waiting(pool) &&
           m_targets.in_flight(pool) < m_targets.capacity(pool, event_loop::now())) {
        const auto id = m_admission.pop_waiting(pool, event_loop::now());
        if (!id) {
            return;
        }
        dispatch(*id);
    }
}

void caller_gateway::dispatch(std::uint64_t id) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    caller_request& request = found->second;
    const timestamp now = event_loop::now();
    if (paused()) {
        give_up(id, answer_code::not_ready);
        return;
    }
    request.target = m_targets.choose(request.pool, request.tried, now, m_random);
    if (!request.target && !request.tried.empty()) {
        request.target = m_targets.choose(request.pool, {}, now, m_random);
    }
    if (!request.target) {
        give_up(id, m_targets.has_target(request.pool) ? answer_code::target_busy : answer_code::no_target);
        return;
    }
    // Counts from the choice on, so that a slot is held while the claim is being written.
    m_targets.on_sent(request.target->vm);
    if (request.key && !request.claimed) {
        claim_then_send(request);
    } else {
        send(request);
    }
}

void caller_gateway::claim_then_send(caller_request& request) {
    m_claims.claim(
        *request.key, request.nonce, request.deadline, [this, id = request.id](claim_answer answer) {
            const auto found = m_requests.find(id);
            if (found == m_requests.end()) {
                return;
            }
            caller_request& claimed = found->second;
            if (answer == claim_answer::granted) {
                claimed.claimed = true;
                log_event(event_id::claim_granted, {{"request", id}});
                send(claimed);
                return;
            }
            m_targets.on_finished(claimed.target->vm, attempt_result::refused_by_target, event_loop::now());
            log_event(event_id::claim_refused,
                      {{"request", id}, {"taken", answer == claim_answer::already_claimed}});
            give_up(id, answer == claim_answer::already_claimed ? answer_code::already_claimed
                                                                : answer_code::claims_unavailable);
        });
}

void caller_gateway::send(caller_request& request) {
    const timestamp now = event_loop::now();
    // The claim took time: the VM may have been cordoned, or given to a rival, since it was chosen.
    if (!m_targets.is_still_valid(*request.target, request.pool)) {
        m_targets.on_finished(request.target->vm, attempt_result::answered, now);
        request.tried.insert(request.target->vm);
        dispatch(request.id);
        return;
    }
    if (request.deadline <= now) {
        m_targets.on_finished(request.target->vm, attempt_result::answered, now);
        give_up(request.id, answer_code::deadline_too_short);
        return;
    }
    ++request.attempts;
    request.sent_at = now;
    m_metrics.increment("sends");
    log_event(event_id::request_sent, {{"request", request.id},
                                       {"pool", request.pool},
                                       {"vm", request.target->vm},
                                       {"epoch", request.target->epoch},
                                       {"attempt", request.attempts},
                                       {"fleet", m_state.fleet().revision},
                                       {"left_ms", (request.deadline - now).count()}});
    m_client.send(to_target_call(request, *request.target, now),
                  [this, id = request.id](const http_answer& answer) { on_answer(id, answer); });
}

void caller_gateway::on_answer(std::uint64_t id, const http_answer& answer) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    caller_request& request = found->second;
    const timestamp now = event_loop::now();
    const attempt_result result = to_attempt_result(answer);
    m_targets.on_finished(request.target->vm, result, now);
    retry_budget& budget = m_budgets.at(request.pool);
    const attempt_verdict verdict =
        decide_next_step({result, request.repeatable, request.sent_before, request.attempts,
                          request.deadline - now, budget.can_retry() && !paused()});
    request.sent_before = request.sent_before || !is_confirmed_not_run(result);
    switch (verdict.step) {
    case next_step::deliver:
        deliver(request, answer);
        return;
    case next_step::retry:
        budget.consume();
        retry(request, result);
        return;
    case next_step::give_up:
        give_up(id, verdict.code);
        return;
    }
}

void caller_gateway::retry(caller_request& request, attempt_result result) {
    request.tried.insert(request.target->vm);
    m_metrics.increment("retries");
    log_event(event_id::request_retried,
              {{"request", request.id}, {"vm", request.target->vm}, {"because", name_of(result)}});
    dispatch(request.id);
}

void caller_gateway::deliver(caller_request& request, const http_answer& answer) {
    http_headers headers;
    const bool head = request.from->method() == "HEAD";
    for (const auto& [name, value] : answer.headers.fields()) {
        const bool recomputed = equals_ignoring_case(name, "Content-Length") && !head;
        if (!is_hop_by_hop(name) && !recomputed) {
            headers.add(name, value);
        }
    }
    const timestamp now = event_loop::now();
    m_metrics.increment("answered");
    m_metrics.observe("answer", static_cast<double>((now - request.arrived).count()));
    log_event(event_id::request_answered, {{"request", request.id},
                                           {"vm", request.target->vm},
                                           {"status", answer.code},
                                           {"ms", (now - request.arrived).count()}});
    const auto from = request.from;
    finish(request.id, now - request.sent_at);
    from->reply(answer.code, headers, answer.body);
}

void caller_gateway::give_up(std::uint64_t id, answer_code code, int retry_after_s) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    caller_request& request = found->second;
    answer_code told = code;
    if (request.sent_before && find_answer_rule(code).result == outcome::not_run) {
        told = answer_code::target_reset; // An earlier attempt may have run it.
    }
    if (request.claimed && find_answer_rule(told).result == outcome::not_run) {
        m_claims.release(*request.key, request.nonce);
        log_event(event_id::claim_released, {{"request", id}});
    }
    const auto from = request.from;
    finish(id, milliseconds{0});
    reply_own(*from, told, retry_after_s, id);
}

void caller_gateway::finish(std::uint64_t id, milliseconds service_time) {
    const auto found = m_requests.find(id);
    const std::string pool = found->second.pool;
    m_admission.record_finished(pool, found->second.member, service_time);
    m_requests.erase(found);
    m_loop.post([this, alive = m_lifetime.weak_token(), pool] {
        if (!alive.expired()) {
            pump(pool);
        }
    });
}

void caller_gateway::reply_own(server_request& from, answer_code code, int retry_after_s, std::uint64_t id) {
    const answer_rule& rule = find_answer_rule(code);
    http_headers headers;
    headers.add("Content-Type", "application/json");
    headers.add(outcome_header, std::string(name_of(rule.result)));
    const int seconds = retry_after_s > 0 ? retry_after_s : rule.retry_after_s;
    if (rule.result == outcome::not_run && seconds > 0) {
        headers.add("Retry-After", std::to_string(seconds));
    }
    m_metrics.increment(std::string("own_answers_") + std::string(name_of(rule.result)));
    log_event(rule.result == outcome::not_run ? event_id::request_refused : event_id::request_given_up,
              {{"request", id}, {"code", rule.name}, {"target", from.target()}});
    boost::json::object body{{"outcome", name_of(rule.result)}, {"code", rule.name}, {"request", id}};
    if (code == answer_code::bad_request) {
        boost::json::array problems;
        const findings found = check_request(from);
        for (const finding& item : found.items()) {
            problems.push_back({{"place", item.location}, {"message", item.message}});
        }
        body["findings"] = std::move(problems);
    }
    from.reply(rule.status, headers, boost::json::serialize(body));
}

} // namespace siskinpaddle
