#include "demo/fleet_ledger.hpp"

#include <fstream>

namespace siskinpaddle::demo {

namespace {

constexpr milliseconds sample_interval = 100ms;

template <typename Value, typename Decode>
bool decode_into(Value& value, Decode decode) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(value, decode());
            return true;
        },
        [] { return false; });
}

struct run_record {
    int runs = 0;
    int cuts = 0;
    std::set<std::string> pools;
};

std::map<std::string, run_record> read_logs(const std::vector<std::string>& paths) {
    std::map<std::string, run_record> records;
    for (const std::string& path : paths) {
        std::ifstream file(path);
        std::string what;
        std::string id;
        std::string pool;
        while (file >> what >> id >> pool) {
            run_record& record = records[id];
            record.runs += what == "run" ? 1 : 0;
            record.cuts += what == "cut" ? 1 : 0;
            record.pools.insert(pool);
        }
    }
    return records;
}

} // namespace

fleet_ledger::fleet_ledger(event_loop& loop, endpoint platform)
    : m_platform(std::move(platform)), m_client(loop), m_timer(loop.make_timer([this] { sample(); })) {}

void fleet_ledger::start() {
    sample();
}

void fleet_ledger::sample() {
    read("fleet");
    read("config");
    for (const auto& [pool, settings] : m_config.pools) {
        read("jobs/" + pool);
    }
    m_timer->start(sample_interval);
}

void fleet_ledger::read(const std::string& key) {
    http_call call;
    call.to = m_platform;
    call.target = "/kv/" + key;
    call.headers.add("Caller", "ledger");
    m_client.send(std::move(call), [this, key](const http_answer& answer) {
        if (answer.status == exchange_status::answered && answer.code == 200) {
            take(key, answer);
        }
    });
}

void fleet_ledger::take(const std::string& key, const http_answer& answer) {
    if (key == "fleet") {
        fleet_record next;
        if (decode_into(next, [&] { return decode_fleet(answer.body); })) {
            take_fleet(std::move(next));
        }
    } else if (key == "config") {
        findings problems;
        const stored_configuration stored = decode_stored_configuration(answer.body, problems);
        m_config = parse_configuration(stored.number, stored.document, problems);
    } else {
        decode_into(m_jobs[key.substr(5)], [&] { return decode_jobs(answer.body); });
    }
}

void fleet_ledger::take_fleet(fleet_record next) {
    if (next.revision < m_fleet.revision) {
        return;
    }
    m_fleet = std::move(next);
    for (const vm_record& vm : m_fleet.vms) {
        const auto known = m_last_pool.find(vm.id);
        if (known != m_last_pool.end() && known->second != vm.pool && !known->second.empty()) {
            ++m_vm_moves;
        }
        m_last_pool[vm.id] = vm.pool;
    }
    measure();
}

std::int64_t fleet_ledger::serving(const std::string& pool) const {
    return std::count_if(m_fleet.vms.begin(), m_fleet.vms.end(), [&](const vm_record& vm) {
        return vm.pool == pool && vm.state == vm_state::serving && !m_killed.contains(vm.id);
    });
}

void fleet_ledger::measure() {
    const timestamp now = event_loop::now();
    const milliseconds passed = m_last_sample == timestamp{0} ? 0ms : now - m_last_sample;
    m_last_sample = now;
    std::int64_t promised = 0;
    for (const auto& [name, pool] : m_config.pools) {
        promised += pool.promised;
        const std::int64_t available = serving(name);
        if (available >= pool.promised) {
            m_was_served.insert(name);
            m_breached.erase(name);
        } else if (m_was_served.contains(name) && m_breached.insert(name).second) {
            ++m_breaches;
        }
    }
    const auto held = static_cast<std::int64_t>(m_fleet.vms.size());
    m_buffer_ms += std::max<std::int64_t>(0, held - promised) * passed.count();
}

std::int64_t fleet_ledger::job_moves() const {
    std::int64_t moves = 0;
    for (const auto& [pool, table] : m_jobs) {
        for (const job_record& job : table.jobs) {
            moves += job.moves;
        }
    }
    return moves;
}

request_sums sum_requests(const std::map<std::string, caller_note>& notes,
                          const std::vector<std::string>& target_logs) {
    const std::map<std::string, run_record> records = read_logs(target_logs);
    request_sums sums;
    for (const auto& [id, note] : notes) {
        const auto found = records.find(id);
        const run_record record = found == records.end() ? run_record{} : found->second;
        ++sums.requests;
        sums.answered += note.outcome == caller_outcome::answered ? 1 : 0;
        sums.not_run += note.outcome == caller_outcome::not_run ? 1 : 0;
        sums.unknown += note.outcome == caller_outcome::unknown ? 1 : 0;
        const bool nowhere = note.outcome == caller_outcome::answered && record.runs == 0;
        sums.lost += nowhere || note.outcome == caller_outcome::pending || !note.answer_matches ? 1 : 0;
        sums.doubled += !note.repeatable && record.runs > 1 ? 1 : 0;
        sums.cut += record.cuts > 0 ? 1 : 0;
        sums.false_not_run += note.outcome == caller_outcome::not_run && record.runs > 0 ? 1 : 0;
        for (const std::string& pool : record.pools) {
            sums.wrong_pool += pool != note.pool ? 1 : 0;
        }
    }
    return sums;
}

} // namespace siskinpaddle::demo
