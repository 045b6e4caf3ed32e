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
               [this](std::shared_ptr<server_request> incoming) { handle_request(std::move(incoming)); }),
      m_client(loop, client_limits(settings)), m_targets(settings.availability_zone, settings.routing),
      m_admission(settings.max_requests, settings.admission_enabled), m_random(std::random_device()()),
      m_next_id(m_random.next() >> 16U << 16U), m_timer(loop.make_timer([this] { tick(); })) {
    m_state.on_change([this](const std::string&) { apply_config_and_fleet(); });
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

bool caller_gateway::is_ready() const {
    return !m_draining && m_state.is_registered() && m_state.config().number > 0;
}

void caller_gateway::on_health_check(const std::string& vm, bool passed) {
    m_targets.on_health_check(vm, passed, event_loop::now());
}

void caller_gateway::apply_config_and_fleet() {
    m_targets.apply(m_state.config(), m_state.fleet(), event_loop::now());
    m_admission.set_member_count(
        std::max<std::int64_t>(1, static_cast<std::int64_t>(m_state.config().members.size())));
    for (const std::string& pool : m_admission.pools_with_waiting()) {
        if (!m_targets.has_target(pool)) {
            for (const std::uint64_t id : m_admission.remove_waiting(pool)) {
                fail_request(id, answer_code::no_target);
            }
        }
    }
}

bool caller_gateway::check_for_pause() {
    if (m_pause_detector.check(event_loop::now()) == pause_verdict::none) {
        return false;
    }
    if (!m_refreshing) {
        m_refreshing = true;
        log_event(event_id::process_paused);
        m_state.refresh([this](bool answered) {
            m_refreshing = false;
            if (answered && m_state.is_registered()) {
                m_pause_detector.mark_refreshed();
            }
        });
    }
    return true;
}

void caller_gateway::tick() {
    (void)check_for_pause();
    for (const std::uint64_t id : m_admission.remove_expired(event_loop::now())) {
        fail_request(id, answer_code::deadline_passed_in_queue);
    }
    for (const std::string& pool : m_admission.pools_with_waiting()) {
        dispatch_waiting(pool);
    }
    m_timer->start(tick_interval);
}

void caller_gateway::reply_health(server_request& incoming) const {
    http_headers headers;
    headers.add("Content-Type", "application/json");
    const bool accepts_requests = is_ready();
    const boost::json::object body{{"ready", accepts_requests},
                                   {"registered", m_state.is_registered()},
                                   {"draining", m_draining},
                                   {"config", m_state.config().number},
                                   {"fleet", m_state.fleet().revision}};
    incoming.reply(accepts_requests ? 200 : 503, headers, boost::json::serialize(body));
}

bool caller_gateway::reject_if_not_ready(server_request& incoming) {
    if (m_draining) {
        reply_from_entry(incoming, answer_code::shutting_down, 0, 0);
        return true;
    }
    if (!is_ready() || check_for_pause()) {
        reply_from_entry(incoming, answer_code::not_ready, 0, 0);
        return true;
    }
    return false;
}

void caller_gateway::handle_request(std::shared_ptr<server_request> incoming) {
    if (path_of_target(incoming->target()) == health_path) {
        reply_health(*incoming);
        return;
    }
    m_metrics.increment("requests");
    if (reject_if_not_ready(*incoming)) {
        return;
    }
    const route_settings* route = find_route(m_state.config(), path_of_target(incoming->target()));
    if (route == nullptr) {
        reply_from_entry(*incoming, answer_code::no_route, 0, 0);
        return;
    }
    if (const findings problems = check_request(*incoming); !problems.empty()) {
        reply_from_entry(*incoming, answer_code::bad_request, 0, 0);
        return;
    }
    caller_request request;
    request.id = m_next_id++;
    request.pool = m_state.config().services.at(route->service).pool;
    request.member = m_state.config().pools.at(request.pool).member;
    request.repeatable = is_repeatable(route->repeatable, incoming->method());
    request.arrived_at = event_loop::now();
    request.deadline = request.arrived_at + resolve_timeout(*incoming, *route);
    if (!request.repeatable && incoming->headers().has(idempotency_header)) {
        request.key = make_claim_key(request.pool, incoming->headers().get(idempotency_header));
        request.nonce = m_claims.make_nonce();
    }
    request.incoming = std::move(incoming);
    admit(std::move(request));
}

pool_load caller_gateway::make_pool_load(const std::string& pool) const {
    const timestamp now = event_loop::now();
    return {m_targets.capacity(pool, now), m_targets.in_flight(pool),
            m_state.config().pools.at(pool).max_queue, m_targets.has_target(pool)};
}

void caller_gateway::admit(caller_request request) {
    m_budgets.try_emplace(request.pool, static_cast<double>(m_settings.retry_percent) / 100);
    m_budgets.at(request.pool).on_request();
    const admission_verdict verdict =
        m_admission.admit({request.id, request.pool, request.member, request.deadline},
                          make_pool_load(request.pool), event_loop::now());
    if (verdict.action == admission_action::refuse) {
        reply_from_entry(*request.incoming, verdict.code, verdict.retry_after_s, request.id);
        return;
    }
    const std::uint64_t id = request.id;
    m_requests.emplace(id, std::move(request));
    if (verdict.action == admission_action::send) {
        dispatch(id);
    }
}

void caller_gateway::dispatch_waiting(const std::string& pool) {
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
    if (check_for_pause()) {
        fail_request(id, answer_code::not_ready);
        return;
    }
    request.target = m_targets.choose(request.pool, request.tried_vms, now, m_random);
    if (!request.target && !request.tried_vms.empty()) {
        request.target = m_targets.choose(request.pool, {}, now, m_random);
    }
    if (!request.target) {
        fail_request(id,
                     m_targets.has_target(request.pool) ? answer_code::target_busy : answer_code::no_target);
        return;
    }
    // The request counts as in flight as soon as its VM is chosen, so that it occupies a slot of the VM while
    // the claim is being written.
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
            fail_request(id, answer == claim_answer::already_claimed ? answer_code::already_claimed
                                                                     : answer_code::claims_unavailable);
        });
}

void caller_gateway::send(caller_request& request) {
    const timestamp now = event_loop::now();
    // Writing the claim takes time. The VM may have been cordoned or assigned to another member's pool
    // since it was chosen.
    if (!m_targets.is_still_valid(*request.target, request.pool)) {
        m_targets.on_finished(request.target->vm, attempt_result::answered, now);
        request.tried_vms.insert(request.target->vm);
        dispatch(request.id);
        return;
    }
    if (request.deadline <= now) {
        m_targets.on_finished(request.target->vm, attempt_result::answered, now);
        fail_request(request.id, answer_code::deadline_too_short);
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
    m_client.send(make_target_call(request, *request.target, now),
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
        decide_next_step({result, request.repeatable, request.may_have_run, request.attempts,
                          request.deadline - now, budget.can_retry() && !check_for_pause()});
    request.may_have_run = request.may_have_run || !is_confirmed_not_run(result);
    switch (verdict.step) {
    case next_step::deliver:
        deliver(request, answer);
        return;
    case next_step::retry:
        budget.consume();
        retry(request, result);
        return;
    case next_step::give_up:
        fail_request(id, verdict.code);
        return;
    }
}

void caller_gateway::retry(caller_request& request, attempt_result result) {
    request.tried_vms.insert(request.target->vm);
    m_metrics.increment("retries");
    log_event(event_id::request_retried,
              {{"request", request.id}, {"vm", request.target->vm}, {"because", name_of(result)}});
    dispatch(request.id);
}

void caller_gateway::deliver(caller_request& request, const http_answer& answer) {
    http_headers headers;
    const bool is_head = request.incoming->method() == "HEAD";
    for (const auto& [name, value] : answer.headers.fields()) {
        const bool recomputed = equals_ignoring_case(name, "Content-Length") && !is_head;
        if (!is_hop_by_hop(name) && !recomputed) {
            headers.add(name, value);
        }
    }
    const timestamp now = event_loop::now();
    m_metrics.increment("answered");
    m_metrics.observe("answer", static_cast<double>((now - request.arrived_at).count()));
    log_event(event_id::request_answered, {{"request", request.id},
                                           {"vm", request.target->vm},
                                           {"status", answer.code},
                                           {"ms", (now - request.arrived_at).count()}});
    const auto incoming = request.incoming;
    finish_request(request.id, now - request.sent_at);
    incoming->reply(answer.code, headers, answer.body);
}

void caller_gateway::fail_request(std::uint64_t id, answer_code code, int retry_after_s) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    caller_request& request = found->second;
    answer_code reported = code;
    if (request.may_have_run && find_answer_rule(code).result == outcome::not_run) {
        reported = answer_code::target_reset; // An earlier attempt may have run the request.
    }
    if (request.claimed && find_answer_rule(reported).result == outcome::not_run) {
        m_claims.release(*request.key, request.nonce);
        log_event(event_id::claim_released, {{"request", id}});
    }
    const auto incoming = request.incoming;
    finish_request(id, milliseconds{0});
    reply_from_entry(*incoming, reported, retry_after_s, id);
}

void caller_gateway::finish_request(std::uint64_t id, milliseconds service_time) {
    const auto found = m_requests.find(id);
    const std::string pool = found->second.pool;
    m_admission.record_finished(pool, found->second.member, service_time);
    m_requests.erase(found);
    m_loop.post([this, alive = m_lifetime.weak_token(), pool] {
        if (!alive.expired()) {
            dispatch_waiting(pool);
        }
    });
}

void caller_gateway::reply_from_entry(server_request& incoming, answer_code code, int retry_after_s,
                                      std::uint64_t id) {
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
              {{"request", id}, {"code", rule.name}, {"target", incoming.target()}});
    boost::json::object body{{"outcome", name_of(rule.result)}, {"code", rule.name}, {"request", id}};
    if (code == answer_code::bad_request) {
        boost::json::array problems;
        const findings found = check_request(incoming);
        for (const finding& item : found.items()) {
            problems.push_back({{"place", item.location}, {"message", item.message}});
        }
        body["findings"] = std::move(problems);
    }
    incoming.reply(rule.status, headers, boost::json::serialize(body));
}

} // namespace siskinpaddle
