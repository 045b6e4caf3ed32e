#include "soak/load_generator.hpp"

#include "platform/platform.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <iomanip>
#include <sstream>

namespace siskinpaddle::soak {

namespace {

constexpr milliseconds iteration_interval = 60ms;
constexpr milliseconds client_deadline = 3s;
/// How often a submit is sent in total, each time to a random node, while its outcome is unknown.
constexpr std::uint32_t max_submit_attempts = 6;
constexpr std::uint64_t probe_interval_iterations = 5;
/// Queries each node for the queue's count every 0.5 s, several times within the allowed age of a count.
constexpr std::uint64_t count_interval_iterations = 8;
/// Bursts make accepted jobs wait for seconds. One starts every 4.8 s and takes one second. The VMs finish at
/// most 60 tasks a second; with the bursts, 83 tasks a second are submitted on average.
constexpr std::uint64_t burst_interval_iterations = 80;
constexpr std::uint64_t burst_iterations = 16;
constexpr std::uint64_t jobs_per_burst_iteration = 6;
/// Jobs of the burst after all faults: 400 tasks on average, of which the VMs start 60 a second.
constexpr std::uint64_t final_burst_jobs = 160;
constexpr std::uint32_t max_tasks = 4;
constexpr std::uint32_t cancel_one_in = 8;
/// One job in so many runs until it is cancelled. Together these jobs use a sixth of the capacity of four
/// VMs.
constexpr std::uint32_t long_lived_one_in = 24;
/// One job in so many has a task that crashes each VM on which it starts.
constexpr std::uint64_t faulty_one_in = 60;
constexpr std::uint64_t faulty_seed = 0xfa;
/// One job in so many is in the queue of the other pool.
constexpr std::uint64_t bulk_one_in = 4;
constexpr std::uint64_t account_seed = 0xacc;
/// One job in so many is in the queue that changes its pool; long-lived ones more often.
constexpr std::uint64_t moving_one_in = 6;
constexpr std::uint64_t long_lived_moving_one_in = 2;
/// In one iteration of so many, an accepted job of that queue is submitted again.
constexpr std::uint64_t repeat_one_in = 4;
constexpr std::uint64_t moving_seed = 0x3073;
/// A node refuses no key by a configuration that may be older than a new one may take to come into force.
constexpr account_bounds key_bounds{
    .revocation = key_revocation_time, .key_lag = configuration_time, .limit_lag = 0ms};
/// Longer than an owner's lease, so that a takeover of the pool occurs while most long-lived jobs are
/// running.
constexpr milliseconds long_lived_duration = 4s;
/// Time after a job's acceptance within which each node that answers for the job's pool must know the job.
constexpr milliseconds visible_within = 3s;
/// Time after a fault within which a node must follow the store again: the platform's bound.
constexpr milliseconds contact_time = 3s;
constexpr std::string_view version_metric = "siskinpaddle_configuration_version ";
constexpr int ok = 200;
constexpr int job_unknown = 410;
constexpr int id_in_use = 409;
constexpr int no_such_queue = 404;
constexpr int unauthorized = 401;
constexpr int too_many = 429;
constexpr int unavailable = 503;
constexpr int internal_error = 500; ///< Leaves open whether the job is stored and whether it will run.

std::string encode_body(const job_history& job) {
    jobs::job_spec spec;
    spec.payload = job.long_lived ? std::string(fakes::task_vm::long_lived_payload) : std::string("s");
    if (job.tail) {
        spec.payload = fakes::task_vm::long_task_payload(job.tail->index, job.tail->run_time);
    }
    if (job.faulty) {
        spec.payload = fakes::task_vm::crash_payload(0);
    }
    spec.steps.resize(1);
    spec.steps[0].count = job.tasks;
    spec.steps[0].long_lived = job.long_lived;
    spec.steps[0].speculative = job.speculative;
    spec.steps[0].need = task_need;
    spec.steps[0].estimate_ms = 500;
    return platform::encode_job(spec);
}

std::string format_id(std::uint64_t number) {
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << number;
    return id.str();
}

/// Returns the only number in the answer to a count query.
std::size_t parse_count(const std::string& body) {
    const boost::json::value document = boost::json::parse(body);
    return document.as_object().begin()->value().to_number<std::size_t>();
}

} // namespace

load_generator::load_generator(event_loop& loop, test_cluster& cluster, std::uint64_t seed, bool hard_load)
    : m_loop(loop), m_cluster(cluster), m_client(loop, {.max_idle_per_endpoint = 4, .max_idle_time = 60s}),
      m_timer(loop.make_timer([this] { run_iteration(); })), m_random(seed),
      m_faulty_random(seed ^ faulty_seed), m_account_random(seed ^ account_seed),
      m_moving_random(seed ^ moving_seed), m_script(seed), m_hard_load(hard_load),
      m_observed_configurations(cluster.nodes()) {}

void load_generator::start() {
    m_started_at = event_loop::now();
    run_iteration();
}

std::size_t load_generator::count_up_to_date_nodes() const {
    std::size_t count = 0;
    for (const observed_configuration& item : m_observed_configurations) {
        count += item.version == m_cluster.configuration_version() ? 1 : 0;
    }
    return count;
}

std::string load_generator::target_of(const std::string& job) const {
    constexpr std::array prefixes{quotes_prefix, bulk_prefix, moving_prefix};
    return std::string(prefixes.at(static_cast<std::size_t>(m_jobs.at(job).queue))) + job;
}

std::string load_generator::key_of(const std::string& job) {
    return m_cluster.accounts().valid_key(m_jobs.at(job).account);
}

void load_generator::send(std::uint32_t node, client_call request,
                          std::function<void(const http_answer&)> done) {
    http_call call;
    call.to = m_cluster.client_endpoint(node);
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers.add("Host", std::string(client_host));
    call.headers.add("Deadline-Ms", std::to_string(client_deadline.count()));
    if (!request.key.empty()) {
        call.headers.add("X-Api-Key", request.key);
    }
    call.body = std::move(request.body);
    call.timeout = client_deadline;
    m_client.send(std::move(call), [this, node, key = std::move(request.key), sent = event_loop::now(),
                                    done = std::move(done)](const http_answer& answer) {
        ++m_answers[answer.status == exchange_status::answered ? answer.code : 0];
        if (!key.empty() && answer.status == exchange_status::answered) {
            const auto problem =
                m_cluster.accounts().check_answer(key, answer.code, sent, event_loop::now(), key_bounds);
            if (problem) {
                m_problems.push_back("n" + std::to_string(node + 1) + ": " + *problem);
            }
        }
        if (answer.status == exchange_status::answered && answer.code == internal_error) {
            m_problems.push_back("n" + std::to_string(node + 1) + " answered 500");
        }
        done(answer);
    });
}

void load_generator::run_iteration() {
    m_timer->start(iteration_interval);
    ++m_iterations;
    if (m_submitting) {
        submit_new_job(m_random() % long_lived_one_in == 0);
        for (std::uint64_t i = 1; is_in_burst() && i < jobs_per_burst_iteration; ++i) {
            submit_new_job(false);
        }
        if (m_hard_load) {
            submit_hot_jobs();
        }
        for (const std::string& id : m_retries.take_due(event_loop::now())) {
            submit(id, 1);
        }
    }
    for (std::uint32_t node = 0; node < m_cluster.nodes(); ++node) {
        if (m_iterations % probe_interval_iterations == 0) {
            probe_configuration(node);
            read_version(node);
        }
        if (m_iterations % count_interval_iterations == 0) {
            query_count(node);
        }
    }
    cancel_long_lived();
    repeat_moving_job();
    probe_access();
    // Queries one random unfinished job in each iteration, so that each job is queried repeatedly.
    std::vector<std::string> open = unfinished_jobs(m_jobs);
    if (!open.empty()) {
        query_job(open[m_random() % open.size()]);
    }
}

bool load_generator::is_in_burst() const {
    return m_iterations % burst_interval_iterations < burst_iterations;
}

void load_generator::submit_burst() {
    for (std::uint64_t i = 0; i < final_burst_jobs; ++i) {
        submit_new_job(false);
    }
}

bool load_generator::all_submits_resolved() const {
    return std::ranges::none_of(m_jobs, [](const auto& item) { return item.second.submit_in_flight; });
}

void load_generator::submit_new_job(bool long_lived) {
    const std::string id = format_id(m_random());
    job_history& job = m_jobs[id];
    job.tasks = 1 + static_cast<std::uint32_t>(m_random() % max_tasks);
    job.long_lived = long_lived;
    job.faulty = !long_lived && m_submitting && m_faulty_random() % faulty_one_in == 0;
    job.account = m_cluster.accounts().random_account();
    if (!long_lived && !job.faulty && m_account_random() % bulk_one_in == 0) {
        job.queue = job_queue::bulk;
    }
    const std::uint64_t one_in = long_lived ? long_lived_moving_one_in : moving_one_in;
    if (m_submitting && !job.faulty && m_moving_random() % one_in == 0) {
        job.queue = job_queue::moving;
    }
    submit_job(id, job);
}

/// Submits an accepted job again, as a client that got no answer does. It remains one job.
void load_generator::repeat_moving_job() {
    std::vector<std::string> accepted;
    for (const auto& [id, job] : m_jobs) {
        if (job.queue == job_queue::moving && job.accepted != timestamp(0)) {
            accepted.push_back(id);
        }
    }
    if (accepted.empty() || m_moving_random() % repeat_one_in != 0) {
        return;
    }
    const std::string id = accepted[m_moving_random() % accepted.size()];
    send(random_node_of(m_moving_random), {"POST", target_of(id), encode_body(m_jobs[id]), key_of(id)},
         [this, id](const http_answer& answer) {
             if (answer.status == exchange_status::answered && answer.code == id_in_use) {
                 m_problems.push_back("accepted job is taken for another one: " + id);
             }
         });
}

void load_generator::submit_hot_jobs() {
    const hot_period* period = m_script.hot_at(event_loop::now() - m_started_at);
    const std::uint32_t count = period == nullptr ? 0 : m_script.draw_additional_jobs(*period);
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint64_t number = m_script.draw_job_id();
        const std::string id = format_id(number);
        job_history& job = m_jobs[id];
        job.tasks = 1 + static_cast<std::uint32_t>(number % max_tasks);
        job.account = period->account;
        submit_job(id, job);
    }
}

void load_generator::submit_job(const std::string& id, job_history& job) {
    const job_traits traits = m_script.draw_traits(job.tasks);
    if (!job.long_lived && !job.faulty) {
        job.speculative = traits.speculative;
        job.tail = m_hard_load ? traits.tail : std::nullopt;
    }
    job.submitted = event_loop::now();
    submit(id, 1);
}

void load_generator::submit(const std::string& id, std::uint32_t attempt) {
    m_jobs[id].submit_in_flight = true;
    send(random_node(), {"POST", target_of(id), encode_body(m_jobs[id]), key_of(id)},
         [this, id, attempt, owner = m_cluster.newest_owner()](const http_answer& answer) {
             record_judgement(id, owner, answer);
             process_submit_answer(id, attempt, answer);
         });
}

/// `owner`: the pool's owner when the submit was sent.
void load_generator::record_judgement(const std::string& id, std::int64_t owner, const http_answer& answer) {
    const job_history& job = m_jobs[id];
    const bool is_judged =
        answer.status == exchange_status::answered && (answer.code == ok || answer.code == too_many);
    if (!is_judged || job.queue != job_queue::quotes || owner != m_cluster.newest_owner() ||
        !m_cluster.had_contact(owner, event_loop::now(), contact_time)) {
        return;
    }
    std::size_t open_tasks = job.tasks;
    for (const auto& [other_id, other] : m_jobs) {
        const bool is_open = other.accepted != timestamp(0) && !other.completed && !other.cancel_sent;
        open_tasks += is_open && other.account == job.account ? other.tasks : 0;
    }
    m_judged.push_back({job.account, owner, event_loop::now(), job.tasks, answer.code == ok,
                        open_tasks >= account_script::smallest_limit(job.account)});
}

void load_generator::process_submit_answer(const std::string& id, std::uint32_t attempt,
                                           const http_answer& answer) {
    job_history& job = m_jobs[id];
    job.submit_in_flight = false;
    const bool answered = answer.status == exchange_status::answered;
    if (answered && answer.code == ok) {
        job.may_run = true;
        job.accepted = job.accepted == timestamp(0) ? event_loop::now() : job.accepted;
        if (!job.long_lived && m_random() % cancel_one_in == 0) {
            cancel(id);
        }
        return;
    }
    const bool refused =
        answered && (answer.code == too_many || answer.code == unavailable || answer.code == unauthorized);
    // A connection that fails before a byte is sent can't have delivered the submit.
    job.may_run = job.may_run || (!refused && answer.status != exchange_status::connect_failed);
    if (refused) {
        m_retries.add(id, answer.headers.get("Retry-After"), event_loop::now());
    } else if (attempt < max_submit_attempts) {
        submit(id, attempt + 1);
    }
}

void load_generator::cancel(const std::string& id) {
    m_jobs[id].cancel_sent = true;
    m_jobs[id].cancel_in_flight = true;
    send(random_node(), {"DELETE", target_of(id), {}, key_of(id)}, [this, id](const http_answer& answer) {
        m_jobs[id].cancel_in_flight = false;
        if (answer.status == exchange_status::answered && answer.code == ok) {
            m_jobs[id].cancelled = event_loop::now();
        }
    });
}

/// Cancels long-lived jobs that have run long enough, or all of them once no more jobs are submitted.
/// Retries until the cancellation is confirmed.
void load_generator::cancel_long_lived() {
    for (const auto& [id, job] : m_jobs) {
        const bool has_run_long_enough =
            event_loop::now() - job.accepted >= long_lived_duration || !m_submitting;
        const bool open = job.long_lived && job.accepted != timestamp(0) && job.cancelled == timestamp(0);
        if (open && has_run_long_enough && !job.cancel_in_flight) {
            cancel(id);
        }
    }
}

void load_generator::query_job(const std::string& id) {
    send(random_node(), {"GET", target_of(id), {}, key_of(id)},
         [this, id, failed = m_jobs[id].failed](const http_answer& answer) {
             process_job_answer(id, failed, answer);
         });
}

void load_generator::process_job_answer(const std::string& id, bool was_shown_failed,
                                        const http_answer& answer) {
    job_history& job = m_jobs[id];
    if (answer.status != exchange_status::answered) {
        return;
    }
    if (answer.code == job_unknown && event_loop::now() - job.accepted > visible_within + client_deadline) {
        m_problems.push_back("accepted job is unknown to a node: " + id);
    }
    job.completed = job.completed || answer.body.find("\"completed\"") != std::string::npos;
    const bool cancelled = answer.body.find("\"cancelled\"") != std::string::npos;
    const bool failed = answer.body.find("\"failed\"") != std::string::npos;
    if ((cancelled || (failed && !job.faulty)) && !job.cancel_sent) {
        m_problems.push_back("shown as cancelled or failed although no cancellation was sent: " + id + " " +
                             answer.body);
    }
    if (was_shown_failed && answer.code == ok && !failed) {
        m_problems.push_back("shown as failed, and as something else later: " + id + " " + answer.body);
    }
    job.failed = job.failed || failed;
}

/// Calls a random node with a key that was revoked, and asks for a job with another account's key.
void load_generator::probe_access() {
    account_script& accounts = m_cluster.accounts();
    if (const auto revoked = accounts.revoked_key(accounts.random_account())) {
        send(random_node(), {"GET", std::string(quotes_prefix), {}, *revoked}, [](const http_answer&) {});
    }
    if (m_jobs.empty()) {
        return;
    }
    const auto job =
        std::next(m_jobs.begin(), static_cast<std::ptrdiff_t>(m_account_random() % m_jobs.size()));
    const std::size_t other = (job->second.account + 1) % account_script::accounts;
    send(random_node(), {"GET", target_of(job->first), {}, accounts.valid_key(other)},
         [this, id = job->first](const http_answer& answer) {
             if (answer.status == exchange_status::answered && answer.code == ok) {
                 m_problems.push_back("shown to another account: " + id);
             }
         });
}

void load_generator::query_count(std::uint32_t node) {
    const std::string key = m_cluster.accounts().valid_key(m_cluster.accounts().random_account());
    send(node, {"GET", std::string(quotes_prefix), {}, key},
         [this, node, sent = event_loop::now()](const http_answer& answer) {
             if (answer.status == exchange_status::answered && answer.code == ok) {
                 m_counts.push_back({node, sent, event_loop::now(), parse_count(answer.body)});
             }
         });
}

/// Queries the queue that exists only in the newest configuration version. Once that version was observed on
/// the node, half of the probes query the queue of the previous version instead.
void load_generator::probe_configuration(std::uint32_t node) {
    observed_configuration& seen = m_observed_configurations[node];
    if (seen.incarnation != m_cluster.incarnation_of(node)) {
        seen = {m_cluster.incarnation_of(node), 0, seen.is_probing};
    }
    if (seen.is_probing) {
        return;
    }
    seen.is_probing = true;
    const bool old = seen.version == m_cluster.configuration_version() && m_random() % 2 == 0;
    const std::int64_t version = m_cluster.configuration_version() - (old ? 2 : 0);
    configuration_report report;
    report.queried_version = version;
    report.sent = event_loop::now();
    report.was_in_touch = m_cluster.is_in_touch(node, contact_time);
    send(node, {"GET", test_cluster::extra_prefix(version), {}, {}},
         [this, node, report, before = seen](const http_answer& answer) mutable {
             const int code = answer.status == exchange_status::answered ? answer.code : 0;
             report.is_present = code == ok;
             report.is_missing = code == no_such_queue;
             check_configuration(node, report);
             process_probe_answer(node, report.queried_version, before, code);
         });
}

void load_generator::read_version(std::uint32_t node) {
    configuration_report report;
    report.sent = event_loop::now();
    report.was_in_touch = m_cluster.is_in_touch(node, contact_time);
    http_call call;
    call.to = m_cluster.metrics_endpoint(node);
    call.target = "/metrics";
    m_client.send(std::move(call), [this, node, report](const http_answer& answer) mutable {
        const std::size_t at = answer.body.find(version_metric);
        if (answer.status == exchange_status::answered && at != std::string::npos) {
            report.reported_version =
                std::strtoll(answer.body.c_str() + at + version_metric.size(), nullptr, 10);
            check_configuration(node, report);
        }
    });
}

void load_generator::check_configuration(std::uint32_t node, const configuration_report& report) {
    configuration_report ended = report;
    ended.answered = event_loop::now();
    if (const auto problem = check_time_to_effect(ended, m_cluster.publications(), configuration_time)) {
        m_problems.push_back("n" + std::to_string(node + 1) + ": " + *problem);
    }
}

void load_generator::process_probe_answer(std::uint32_t node, std::int64_t version,
                                          observed_configuration previous, int code) {
    observed_configuration& seen = m_observed_configurations[node];
    seen.is_probing = false;
    if (previous.incarnation != m_cluster.incarnation_of(node) || seen.incarnation != previous.incarnation) {
        return;
    }
    const bool is_present = code == ok;
    if (shows_older_configuration({version, previous.version, m_cluster.configuration_version(), is_present,
                                   code == no_such_queue})) {
        m_problems.push_back("n" + std::to_string(node + 1) + " went back from configuration " +
                             std::to_string(previous.version) + ": asked for " + std::to_string(version) +
                             ", got " + std::to_string(code));
    }
    if (is_present) {
        seen.version = std::max(seen.version, version);
    }
}

} // namespace siskinpaddle::soak
