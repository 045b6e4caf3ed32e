#include "soak/callers.hpp"

#include "platform/platform.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace siskinpaddle::soak {

namespace {

constexpr milliseconds turn_time = 60ms;
constexpr milliseconds client_deadline = 3s;
/// A submit without a definite answer is sent again this often, at any node.
constexpr std::uint32_t most_tries = 6;
constexpr std::uint64_t probe_every = 5;
/// Each node is asked for the queue's count every 0.5 s: several times in the age that a count may have.
constexpr std::uint64_t count_every = 8;
/// Bursts, so that accepted jobs wait for seconds: each 4.8 s, a second long. The VMs end at most 60 tasks a
/// second; with the bursts 83 come on average.
constexpr std::uint64_t burst_every = 80;
constexpr std::uint64_t burst_turns = 16;
constexpr std::uint64_t burst_jobs = 6;
/// Jobs of the burst after all faults: 400 tasks on average, of which the VMs begin 60 a second.
constexpr std::uint64_t last_burst_jobs = 160;
constexpr std::uint32_t most_tasks = 4;
constexpr std::uint32_t cancel_one_in = 8;
/// One job in so many runs until it is cancelled; by then they hold a sixth of the room of four VMs.
constexpr std::uint32_t endless_one_in = 24;
/// One job in so many has a task that crashes every VM that starts it.
constexpr std::uint64_t faulty_one_in = 60;
constexpr std::uint64_t faulty_seed = 0xfa;
/// Longer than an owner's lease, so that most of them see a change of owner.
constexpr milliseconds endless_stay = 4s;
/// How long after a job's acceptance every node that answers for its pool must know it.
constexpr milliseconds visible_within = 3s;
constexpr int ok = 200;
constexpr int not_known = 410;
constexpr int no_such_queue = 404;
constexpr int too_many = 429;
constexpr int unavailable = 503;
constexpr int internal_error = 500; ///< Says neither that a job is kept nor that it won't run.

std::string body_of(const job_history& job) {
    jobs::job_spec spec;
    spec.payload = job.endless ? std::string(fakes::task_vm::endless_payload) : std::string("s");
    if (job.faulty) {
        spec.payload = fakes::task_vm::crash_payload(0);
    }
    spec.steps.resize(1);
    spec.steps[0].count = job.tasks;
    spec.steps[0].long_running = job.endless;
    spec.steps[0].need = {500, 64, 0};
    spec.steps[0].estimate_ms = 500;
    return platform::encode_job(spec);
}

std::string target_of(const std::string& job) {
    return std::string(quotes_prefix) + job;
}

/// The one number that an answer to the question for a count holds.
std::size_t number_in(const std::string& body) {
    const boost::json::value document = boost::json::parse(body);
    return document.as_object().begin()->value().to_number<std::size_t>();
}

} // namespace

callers::callers(event_loop& loop, world& deployment, std::uint64_t seed)
    : m_loop(loop), m_world(deployment), m_client(loop, {.max_idle_per_endpoint = 4, .max_idle_time = 60s}),
      m_timer(loop.make_timer([this] { turn(); })), m_random(seed), m_faulty_random(seed ^ faulty_seed),
      m_seen(deployment.nodes()) {}

void callers::start() {
    turn();
}

std::size_t callers::nodes_up_to_date() const {
    std::size_t count = 0;
    for (const seen_configuration& item : m_seen) {
        count += item.version == m_world.version() ? 1 : 0;
    }
    return count;
}

void callers::send(std::uint32_t node, const std::string& method, const std::string& target, std::string body,
                   std::function<void(const http_answer&)> done) {
    http_call call;
    call.to = m_world.clients_of(node);
    call.method = method;
    call.target = target;
    call.headers.add("Host", std::string(client_host));
    call.headers.add("Deadline-Ms", std::to_string(client_deadline.count()));
    call.body = std::move(body);
    call.timeout = client_deadline;
    m_client.send(std::move(call), [this, node, done = std::move(done)](const http_answer& answer) {
        ++m_answers[answer.status == exchange_status::answered ? answer.code : 0];
        if (answer.status == exchange_status::answered && answer.code == internal_error) {
            m_problems.push_back("n" + std::to_string(node + 1) + " answered 500");
        }
        done(answer);
    });
}

void callers::turn() {
    m_timer->start(turn_time);
    ++m_turns;
    if (m_submitting) {
        hand_in(m_random() % endless_one_in == 0);
        for (std::uint64_t i = 1; in_burst() && i < burst_jobs; ++i) {
            hand_in(false);
        }
    }
    for (std::uint32_t node = 0; node < m_world.nodes(); ++node) {
        if (m_turns % probe_every == 0) {
            probe(node);
        }
        if (m_turns % count_every == 0) {
            ask_count(node);
        }
    }
    cancel_endless();
    // One job a turn is asked for, and all of them again and again.
    std::vector<std::string> open = unfinished(m_jobs);
    if (!open.empty()) {
        ask(open[m_random() % open.size()]);
    }
}

bool callers::in_burst() const {
    return m_turns % burst_every < burst_turns;
}

void callers::submit_burst() {
    for (std::uint64_t i = 0; i < last_burst_jobs; ++i) {
        hand_in(false);
    }
}

bool callers::all_answered() const {
    return std::ranges::none_of(m_jobs, [](const auto& item) { return item.second.asking; });
}

void callers::hand_in(bool endless) {
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << m_random();
    job_history& job = m_jobs[id.str()];
    job.tasks = 1 + static_cast<std::uint32_t>(m_random() % most_tasks);
    job.endless = endless;
    job.faulty = !endless && m_submitting && m_faulty_random() % faulty_one_in == 0;
    job.submitted = event_loop::now();
    submit(id.str(), 1);
}

void callers::submit(const std::string& id, std::uint32_t tries) {
    m_jobs[id].asking = true;
    send(some_node(), "POST", target_of(id), body_of(m_jobs[id]),
         [this, id, tries](const http_answer& answer) { submit_answered(id, tries, answer); });
}

void callers::submit_answered(const std::string& id, std::uint32_t tries, const http_answer& answer) {
    job_history& job = m_jobs[id];
    job.asking = false;
    const bool answered = answer.status == exchange_status::answered;
    if (answered && answer.code == ok) {
        job.may_run = true;
        job.accepted = job.accepted == timestamp(0) ? event_loop::now() : job.accepted;
        if (!job.endless && m_random() % cancel_one_in == 0) {
            cancel(id);
        }
        return;
    }
    const bool refused = answered && (answer.code == too_many || answer.code == unavailable);
    // Connections that break before a byte is sent carry nothing.
    job.may_run = job.may_run || (!refused && answer.status != exchange_status::connect_failed);
    if (!refused && tries < most_tries) {
        submit(id, tries + 1);
    }
}

void callers::cancel(const std::string& id) {
    m_jobs[id].cancel_sent = true;
    m_jobs[id].cancelling = true;
    send(some_node(), "DELETE", target_of(id), {}, [this, id](const http_answer& answer) {
        m_jobs[id].cancelling = false;
        if (answer.status == exchange_status::answered && answer.code == ok) {
            m_jobs[id].cancelled = event_loop::now();
        }
    });
}

/// What runs until it is cancelled is cancelled in the end, again and again until that is answered.
void callers::cancel_endless() {
    for (const auto& [id, job] : m_jobs) {
        const bool stayed = event_loop::now() - job.accepted >= endless_stay || !m_submitting;
        const bool open = job.endless && job.accepted != timestamp(0) && job.cancelled == timestamp(0);
        if (open && stayed && !job.cancelling) {
            cancel(id);
        }
    }
}

void callers::ask(const std::string& id) {
    send(some_node(), "GET", target_of(id), {},
         [this, id, failed = m_jobs[id].failed](const http_answer& answer) { asked(id, failed, answer); });
}

void callers::asked(const std::string& id, bool failed_before, const http_answer& answer) {
    job_history& job = m_jobs[id];
    if (answer.status != exchange_status::answered) {
        return;
    }
    if (answer.code == not_known && event_loop::now() - job.accepted > visible_within + client_deadline) {
        m_problems.push_back("accepted and not known: " + id);
    }
    job.completed = job.completed || answer.body.find("\"completed\"") != std::string::npos;
    const bool cancelled = answer.body.find("\"cancelled\"") != std::string::npos;
    const bool failed = answer.body.find("\"failed\"") != std::string::npos;
    if ((cancelled || (failed && !job.faulty)) && !job.cancel_sent) {
        m_problems.push_back("neither cancelled nor failed, and shown so: " + id + " " + answer.body);
    }
    if (failed_before && answer.code == ok && !failed) {
        m_problems.push_back("shown as failed, and as something else later: " + id + " " + answer.body);
    }
    job.failed = job.failed || failed;
}

void callers::ask_count(std::uint32_t node) {
    send(node, "GET", std::string(quotes_prefix), {},
         [this, node, sent = event_loop::now()](const http_answer& answer) {
             if (answer.status == exchange_status::answered && answer.code == ok) {
                 m_counts.push_back({node, sent, event_loop::now(), number_in(answer.body)});
             }
         });
}

/// Asks a node for the queue that only the newest version has, and, once that was seen, for one that only the
/// version before had.
void callers::probe(std::uint32_t node) {
    seen_configuration& seen = m_seen[node];
    if (seen.incarnation != m_world.incarnation_of(node)) {
        seen = {m_world.incarnation_of(node), 0, seen.asking};
    }
    if (seen.asking) {
        return;
    }
    seen.asking = true;
    const bool old = seen.version == m_world.version() && m_random() % 2 == 0;
    const std::int64_t version = m_world.version() - (old ? 2 : 0);
    send(node, "GET", world::extra_prefix(version), {},
         [this, node, version, before = seen](const http_answer& answer) {
             probed(node, version, before, answer.status == exchange_status::answered ? answer.code : 0);
         });
}

void callers::probed(std::uint32_t node, std::int64_t version, seen_configuration before, int code) {
    seen_configuration& seen = m_seen[node];
    seen.asking = false;
    if (before.incarnation != m_world.incarnation_of(node) || seen.incarnation != before.incarnation) {
        return;
    }
    const bool there = code == ok;
    if (went_back({version, before.version, m_world.version(), there, code == no_such_queue})) {
        m_problems.push_back("n" + std::to_string(node + 1) + " went back from configuration " +
                             std::to_string(before.version) + ": asked for " + std::to_string(version) +
                             ", got " + std::to_string(code));
    }
    if (there) {
        seen.version = std::max(seen.version, version);
    }
}

} // namespace siskinpaddle::soak
