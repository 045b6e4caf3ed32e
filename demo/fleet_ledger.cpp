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

struct target_record {
    int runs = 0;
    int interruptions = 0;
    std::set<std::string> pools;
};

std::map<std::string, target_record> read_logs(const std::vector<std::string>& paths) {
    std::map<std::string, target_record> records;
    for (const std::string& path : paths) {
        std::ifstream file(path);
        std::string event;
        std::string id;
        std::string pool;
        while (file >> event >> id >> pool) {
            target_record& record = records[id];
            record.runs += event == "run" ? 1 : 0;
            record.interruptions += event == "cut" ? 1 : 0;
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
    read_value("fleet");
    read_value("config");
    for (const auto& [pool, settings] : m_config.pools) {
        read_value("jobs/" + pool);
    }
    m_timer->start(sample_interval);
}

void fleet_ledger::read_value(const std::string& key) {
    http_call call;
    call.to = m_platform;
    call.target = "/kv/" + key;
    call.headers.add("Caller", "ledger");
    m_client.send(std::move(call), [this, key](const http_answer& answer) {
        if (answer.status == exchange_status::answered && answer.code == 200) {
            process_answer(key, answer);
        }
    });
}

void fleet_ledger::process_answer(const std::string& key, const http_answer& answer) {
    if (key == "fleet") {
        fleet_record next;
        if (decode_into(next, [&] { return decode_fleet(answer.body); })) {
            update_fleet(std::move(next));
        }
    } else if (key == "config") {
        findings problems;
        const stored_configuration stored = decode_stored_configuration(answer.body, problems);
        m_config = parse_configuration(stored.number, stored.document, problems);
    } else {
        decode_into(m_jobs[key.substr(5)], [&] { return decode_jobs(answer.body); });
    }
}

void fleet_ledger::update_fleet(fleet_record next) {
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
    update_metrics();
}

std::int64_t fleet_ledger::count_serving(const std::string& pool) const {
    return std::count_if(m_fleet.vms.begin(), m_fleet.vms.end(), [&](const vm_record& vm) {
        return vm.pool == pool && vm.state == vm_state::serving && !m_killed_vms.contains(vm.id);
    });
}

void fleet_ledger::update_metrics() {
    const timestamp now = event_loop::now();
    const milliseconds passed = m_last_sample == timestamp{0} ? 0ms : now - m_last_sample;
    m_last_sample = now;
    std::int64_t promised = 0;
    for (const auto& [name, pool] : m_config.pools) {
        promised += pool.promised;
        const std::int64_t available = count_serving(name);
        if (available >= pool.promised) {
            m_fulfilled_pools.insert(name);
            m_breached_pools.erase(name);
        } else if (m_fulfilled_pools.contains(name) && m_breached_pools.insert(name).second) {
            ++m_breach_count;
        }
    }
    const auto vm_count = static_cast<std::int64_t>(m_fleet.vms.size());
    m_buffer_ms += std::max<std::int64_t>(0, vm_count - promised) * passed.count();
}

std::int64_t fleet_ledger::count_job_moves() const {
    std::int64_t moves = 0;
    for (const auto& [pool, table] : m_jobs) {
        for (const job_record& job : table.jobs) {
            moves += job.moves;
        }
    }
    return moves;
}

request_totals sum_requests(const std::map<std::string, request_record>& requests,
                            const std::vector<std::string>& target_logs) {
    const std::map<std::string, target_record> records = read_logs(target_logs);
    request_totals totals;
    for (const auto& [id, request] : requests) {
        const auto found = records.find(id);
        const target_record record = found == records.end() ? target_record{} : found->second;
        ++totals.requests;
        totals.answered += request.outcome == caller_outcome::answered ? 1 : 0;
        totals.not_run += request.outcome == caller_outcome::not_run ? 1 : 0;
        totals.unknown += request.outcome == caller_outcome::unknown ? 1 : 0;
        const bool never_ran = request.outcome == caller_outcome::answered && record.runs == 0;
        totals.lost +=
            never_ran || request.outcome == caller_outcome::pending || !request.answer_matches ? 1 : 0;
        totals.repeated += !request.is_repeatable && record.runs > 1 ? 1 : 0;
        totals.interrupted += record.interruptions > 0 ? 1 : 0;
        totals.false_not_run += request.outcome == caller_outcome::not_run && record.runs > 0 ? 1 : 0;
        for (const std::string& pool : record.pools) {
            totals.wrong_pool += pool != request.pool ? 1 : 0;
        }
    }
    return totals;
}

} // namespace siskinpaddle::demo
