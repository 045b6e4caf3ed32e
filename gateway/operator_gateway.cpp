#include "gateway/operator_gateway.hpp"

#include "gateway/operator_reports.hpp"

namespace siskinpaddle {

namespace {

constexpr const char* forwarded_header = "Siskinpaddle-Passed-On";

void reply_json(server_request& request, int code, const boost::json::value& body) {
    http_headers headers;
    headers.add("Content-Type", "application/json");
    request.reply(code, headers, boost::json::serialize(body));
}

void reply_error(server_request& request, int code, std::string_view error, const findings& problems = {}) {
    reply_json(request, code, boost::json::object{{"error", error}, {"findings", findings_json(problems)}});
}

std::vector<std::string> split_path(const server_request& request) {
    std::vector<std::string> parts;
    std::string_view path = path_of_target(request.target());
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view part = path.substr(0, path.find('/'));
        parts.emplace_back(part);
        path.remove_prefix(part.size());
    }
    return parts;
}

} // namespace

operator_gateway::operator_gateway(event_loop& loop, const entry_settings& settings,
                                   platform_client& platform, state_task& state, planner_task& planner,
                                   metrics& counters)
    : m_settings(settings), m_platform(platform), m_state(state), m_planner(planner), m_metrics(counters),
      m_server(loop, {}, [this](const request_ptr& request) { handle_request(request); }), m_client(loop) {}

bool operator_gateway::listen() {
    return m_server.listen(m_settings.operators);
}

const std::vector<operator_gateway::route>& operator_gateway::routes() {
    static const std::vector<route> table{
        {"POST", "/v1/patches", &operator_gateway::submit_patch},
        {"POST", "/v1/patches/check", &operator_gateway::check_patch},
        {"GET", "/v1/config", &operator_gateway::show_config},
        {"GET", "/v1/status", &operator_gateway::show_status},
        {"GET", "/v1/pools", &operator_gateway::show_pools},
        {"GET", "/v1/vms", &operator_gateway::show_vms},
        {"GET", "/v1/waves", &operator_gateway::show_waves},
        {"GET", "/v1/jobs", &operator_gateway::list_jobs},
        {"GET", "/v1/jobs/", &operator_gateway::show_job},
        {"POST", "/v1/jobs", &operator_gateway::submit_job},
        {"DELETE", "/v1/jobs/", &operator_gateway::cancel_job},
    };
    return table;
}

std::string operator_gateway::authenticate(const server_request& request) const {
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view field = request.headers().get("Authorization");
    if (!field.starts_with(scheme)) {
        return {};
    }
    const std::string digest = sha256_hex(field.substr(scheme.size()));
    std::string found;
    for (const auto& [name, member] : m_state.config().members) {
        if (equal_secrets(digest, member.credential_sha256)) {
            found = name;
        }
    }
    return found;
}

void operator_gateway::handle_request(const request_ptr& request) {
    const std::string path(path_of_target(request->target()));
    if (path == "/metrics") {
        m_metrics.set("platform_reads", m_platform.usage().reads);
        m_metrics.set("platform_writes", m_platform.usage().writes);
        m_metrics.set("platform_watches", m_platform.usage().watches);
        m_metrics.set("platform_lists", m_platform.usage().lists);
        m_metrics.set("platform_bytes", m_platform.transferred_bytes());
        m_metrics.set("peer_bytes", m_state.peer_bytes());
        m_metrics.set("peer_heartbeats", m_state.usage().heartbeats_sent);
        m_metrics.set("peer_pulls", m_state.usage().pulls);
        m_metrics.set("peer_refused", m_state.usage().refused);
        request->reply(200, {}, m_metrics.to_text());
        return;
    }
    if (path == "/health") {
        reply_json(*request, 200, {{"entry", m_settings.id}});
        return;
    }
    const std::string member = authenticate(*request);
    if (member.empty()) {
        log_event(event_id::operator_refused, {{"from", request->peer()}, {"path", path}});
        reply_error(*request, m_state.config().number == 0 ? 503 : 401, "no valid credential");
        return;
    }
    for (const route& item : routes()) {
        const bool is_prefix = item.path.back() == '/';
        if (request->method() == item.method &&
            (is_prefix ? path.starts_with(item.path) : path == item.path)) {
            (this->*item.handler)(request, member);
            return;
        }
    }
    reply_error(*request, 404, "no such resource");
}

bool operator_gateway::parse_patch(const request_ptr& request, const std::string& member,
                                   patch_request& patch) {
    findings problems;
    const boost::json::value body = parse_json(request->body(), "", problems);
    if (problems.empty()) {
        json_object root(body, "", problems);
        patch.member = member;
        patch.base_number = static_cast<std::uint64_t>(root.number("against", {1, INT64_MAX}));
        patch.write_id = root.text("write_id");
        if (const auto* merge = root.child("patch")) {
            patch.merge_patch = *merge;
        } else {
            problems.add("/patch", "is missing");
        }
        if (patch.write_id.empty() || patch.write_id.size() > 128) {
            problems.add("/write_id", "must have 1 to 128 characters");
        }
        root.reject_unknown();
    }
    if (!problems.empty()) {
        reply_error(*request, 400, "bad patch request", problems);
        return false;
    }
    return true;
}

void operator_gateway::reply_patch_result(const request_ptr& request, const std::string& member,
                                          const patch_result& result) {
    struct verdict_status {
        patch_verdict verdict;
        int status;
    };
    static constexpr std::array<verdict_status, 6> statuses{{{patch_verdict::accepted, 200},
                                                             {patch_verdict::already_accepted, 200},
                                                             {patch_verdict::no_change, 200},
                                                             {patch_verdict::conflict, 409},
                                                             {patch_verdict::not_owner, 403},
                                                             {patch_verdict::invalid, 422}}};
    int status = 500;
    for (const auto& item : statuses) {
        status = item.verdict == result.verdict ? item.status : status;
    }
    log_event(status == 200 ? event_id::patch_accepted : event_id::patch_refused,
              {{"member", member}, {"verdict", name_of(result.verdict)}, {"number", result.number}});
    boost::json::array paths(result.changed_paths.begin(), result.changed_paths.end());
    reply_json(*request, status,
               boost::json::object{{"verdict", name_of(result.verdict)},
                                   {"number", result.number},
                                   {"changed_paths", std::move(paths)},
                                   {"findings", findings_json(result.problems)}});
}

void operator_gateway::check_patch(const request_ptr& request, const std::string& member) {
    patch_request patch;
    if (parse_patch(request, member, patch)) {
        reply_patch_result(request, member, apply_patch(m_state.values().stored_config(), patch));
    }
}

void operator_gateway::submit_patch(const request_ptr& request, const std::string& member) {
    patch_request patch;
    if (!parse_patch(request, member, patch)) {
        return;
    }
    // The verdict is computed inside the compare-and-swap, on the value that is stored at that moment. If the
    // answer to the write is lost, the next read finds the write id of this submission in the history.
    auto result = std::make_shared<patch_result>();
    const auto change = [patch, result](const stored_value& current) -> std::optional<std::string> {
        findings problems;
        const stored_configuration stored = decode_stored_configuration(current.bytes, problems);
        const patch_verdict previous_verdict = result->verdict;
        const std::uint64_t previous_number = result->number;
        *result = apply_patch(stored, patch);
        if (previous_verdict == patch_verdict::accepted &&
            result->verdict == patch_verdict::already_accepted && result->number == previous_number) {
            result->verdict = patch_verdict::accepted;
        }
        if (result->verdict != patch_verdict::accepted || result->next.number == 0) {
            return std::nullopt;
        }
        return encode_stored_configuration(result->next);
    };
    m_platform.update(std::string(config_value), std::nullopt, change,
                      [this, request, member, result](const store_answer& answer) {
                          if (answer.status != store_status::ok) {
                              const bool unknown = answer.status == store_status::unknown;
                              reply_error(*request, unknown ? 504 : 503,
                                          unknown
                                              ? "the platform's answer was lost; submit the same patch again"
                                              : "the platform can't be reached; nothing was changed");
                              return;
                          }
                          m_state.apply_value(std::string(config_value), answer.value);
                          reply_patch_result(request, member, *result);
                      });
}

void operator_gateway::show_config(const request_ptr& request, const std::string&) {
    const std::string requested_number = query_parameter(request->target(), "number");
    const std::uint64_t number = requested_number.empty()
                                     ? m_state.config().number
                                     : std::strtoull(requested_number.c_str(), nullptr, 10);
    const boost::json::value* document = m_state.values().find_document(number);
    if (document == nullptr) {
        reply_error(*request, 404, "this entry no longer keeps the configuration with that number");
        return;
    }
    reply_json(*request, 200, boost::json::object{{"number", number}, {"document", *document}});
}

bool operator_gateway::forward_to_planner(const request_ptr& request) {
    const entry_record* planner = m_state.fleet().find_entry(m_state.fleet().planner);
    if (m_planner.summary().holds_control_lease || planner == nullptr || planner->id == m_settings.id ||
        request->headers().has(forwarded_header)) {
        return false;
    }
    http_call call;
    call.to = {planner->operator_address, planner->operator_port};
    call.target = request->target();
    call.headers.add("Authorization", std::string(request->headers().get("Authorization")));
    call.headers.add(forwarded_header, m_settings.id);
    m_client.send(std::move(call), [this, request](const http_answer& answer) {
        if (answer.status == exchange_status::answered) {
            http_headers headers;
            headers.add("Content-Type", "application/json");
            request->reply(answer.code, headers, answer.body);
            return;
        }
        reply_json(*request, 200,
                   status_json(m_settings, m_state, m_planner.summary(), m_platform.is_reachable()));
    });
    return true;
}

void operator_gateway::show_status(const request_ptr& request, const std::string&) {
    if (!forward_to_planner(request)) {
        reply_json(*request, 200,
                   status_json(m_settings, m_state, m_planner.summary(), m_platform.is_reachable()));
    }
}

void operator_gateway::show_pools(const request_ptr& request, const std::string&) {
    if (!forward_to_planner(request)) {
        reply_json(*request, 200,
                   boost::json::object{{"pools", pools_json(m_state.config(), m_planner.summary().pools)}});
    }
}

void operator_gateway::show_vms(const request_ptr& request, const std::string&) {
    reply_json(
        *request, 200,
        boost::json::object{{"vms", vms_json(m_state.fleet(), query_parameter(request->target(), "pool"))}});
}

void operator_gateway::show_waves(const request_ptr& request, const std::string&) {
    if (!forward_to_planner(request)) {
        reply_json(*request, 200,
                   boost::json::object{
                       {"waves", waves_json(m_state.config(), m_state.fleet(), m_planner.summary().waits)}});
    }
}

bool operator_gateway::can_manage_pool(const std::string& member, const std::string& pool) const {
    const auto found = m_state.config().pools.find(pool);
    return found != m_state.config().pools.end() &&
           (found->second.member == member || m_state.config().members.at(member).admin);
}

void operator_gateway::list_jobs(const request_ptr& request, const std::string& member) {
    boost::json::array items;
    for (const auto& [pool, settings] : m_state.config().pools) {
        if (!can_manage_pool(member, pool)) {
            continue;
        }
        for (const job_record& job : m_state.values().jobs(pool).jobs) {
            items.push_back(job_json(job, pool));
        }
    }
    reply_json(*request, 200, boost::json::object{{"jobs", std::move(items)}});
}

void operator_gateway::show_job(const request_ptr& request, const std::string& member) {
    const std::vector<std::string> parts = split_path(*request);
    const bool is_accessible = parts.size() == 4 && can_manage_pool(member, parts[2]);
    const job_record* job = is_accessible ? m_state.values().jobs(parts[2]).find(parts[3]) : nullptr;
    if (job == nullptr) {
        reply_error(*request, 404, "no such job");
        return;
    }
    reply_json(*request, 200, job_json(*job, parts[2]));
}

void operator_gateway::update_jobs(const request_ptr& request, const std::string& pool,
                                   std::function<bool(job_table&, std::string&)> change,
                                   std::function<void(const job_table&)> done) {
    auto refusal = std::make_shared<std::string>();
    auto table = std::make_shared<job_table>();
    const auto mutate = [change = std::move(change), refusal,
                         table](const stored_value& current) -> std::optional<std::string> {
        *table = {};
        refusal->clear();
        const bool decoded =
            current.version == 0 || boost::leaf::try_handle_all(
                                        [&]() -> boost::leaf::result<bool> {
                                            BOOST_LEAF_ASSIGN(*table, decode_jobs(current.bytes));
                                            return true;
                                        },
                                        [] { return false; });
        if (!decoded) {
            *refusal = "the stored job table is damaged";
            return std::nullopt;
        }
        if (!change(*table, *refusal)) {
            return std::nullopt;
        }
        ++table->revision;
        trim_ended_jobs(*table);
        return encode_jobs(*table);
    };
    const std::string name = std::string(jobs_prefix) + pool;
    m_platform.update(
        name, std::nullopt, mutate,
        [this, request, name, refusal, table, done = std::move(done)](const store_answer& answer) {
            if (answer.status != store_status::ok) {
                reply_error(*request, answer.status == store_status::unknown ? 504 : 503,
                            "the platform did not answer; submit the same job again");
                return;
            }
            if (!refusal->empty()) {
                log_event(event_id::job_refused, {{"value", name}, {"reason", *refusal}});
                reply_error(*request, 409, *refusal);
                return;
            }
            if (answer.value.version > 0) {
                m_state.apply_value(name, answer.value);
            }
            done(*table);
        });
}

void operator_gateway::submit_job(const request_ptr& request, const std::string& member) {
    findings problems;
    const boost::json::value body = parse_json(request->body(), "", problems);
    json_object root(body, "", problems);
    job_record job;
    const std::string pool = root.text("pool");
    job.id = root.text("id");
    job.team = root.text("team");
    job.kind = root.text_or("kind", job.id);
    const auto urgency = value_named<job_urgency>(root.text_or("urgency", "daily"));
    job.size.cpu_millicores = static_cast<std::uint32_t>(root.number("cpu_millicores", {1, 10'000'000}));
    job.size.memory_mb = static_cast<std::uint32_t>(root.number("memory_mb", {1, 100'000'000}));
    job.size.accelerators = static_cast<std::uint32_t>(root.number_or("accelerators", 0, {0, 1000}));
    job.expected_ms = static_cast<std::uint64_t>(root.number_or("expected_ms", 60'000, {1, 2'000'000'000}));
    root.reject_unknown();
    if (!urgency) {
        problems.add("/urgency", "must be urgent, daily or patient");
    }
    if (job.id.empty() || job.id.size() > 128 || job.id.find('/') != std::string::npos) {
        problems.add("/id", "must have 1 to 128 characters and no slash");
    }
    const auto team = m_state.config().teams.find(job.team);
    if (team == m_state.config().teams.end()) {
        problems.add("/team", "unknown team '" + job.team + "'");
    }
    if (!problems.empty()) {
        reply_error(*request, 400, "bad job", problems);
        return;
    }
    if (!can_manage_pool(member, pool) ||
        (team->second.member != member && !m_state.config().members.at(member).admin)) {
        log_event(event_id::operator_refused, {{"member", member}, {"pool", pool}});
        reply_error(*request, 403, "the pool or the team belongs to another member");
        return;
    }
    job.urgency = *urgency;
    update_jobs(
        request, pool,
        [job](job_table& table, std::string& refusal) {
            if (const job_record* known = table.find(job.id)) {
                // An equal job is a repeated submission after a lost answer and is already stored.
                const bool same =
                    known->team == job.team && known->kind == job.kind && known->size == job.size;
                refusal = same ? "" : "another job has this id";
                return false;
            }
            if (table.jobs.size() >= max_jobs_per_pool) {
                refusal = "the pool has reached its maximum number of jobs";
                return false;
            }
            table.jobs.push_back(job);
            return true;
        },
        [request, pool, id = job.id](const job_table& table) {
            log_event(event_id::job_accepted, {{"pool", pool}, {"job", id}});
            reply_json(*request, 200, job_json(*table.find(id), pool));
        });
}

void operator_gateway::cancel_job(const request_ptr& request, const std::string& member) {
    const std::vector<std::string> parts = split_path(*request);
    if (parts.size() != 4 || !can_manage_pool(member, parts[2])) {
        reply_error(*request, 404, "no such job");
        return;
    }
    const std::string& pool = parts[2];
    const std::string& id = parts[3];
    update_jobs(
        request, pool,
        [id](job_table& table, std::string& refusal) {
            job_record* job = table.find(id);
            if (job == nullptr) {
                refusal = "no such job";
                return false;
            }
            if (has_ended(job->state) || job->state == job_state::cancelling) {
                return false;
            }
            job->state = may_be_running(job->state) ? job_state::cancelling : job_state::cancelled;
            job->reason = "cancelled by its owner";
            return true;
        },
        [request, pool, id](const job_table& table) {
            reply_json(*request, 200, job_json(*table.find(id), pool));
        });
}

} // namespace siskinpaddle
