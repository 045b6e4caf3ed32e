#include "policy/target_table.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

constexpr int failures_to_quarantine = 3;
constexpr milliseconds initial_quarantine = 1s;
constexpr milliseconds max_quarantine = 30s;
constexpr milliseconds ramp_time = 5s;
/// Successes at the limit after which this entry raises its limit by one.
constexpr int successes_to_raise_limit = 4;

} // namespace

void target_table::apply(const configuration& config, const fleet_record& fleet, timestamp now) {
    m_vms_by_pool.clear();
    std::set<std::string> known;
    const int entries_in_zone = std::max<int>(
        1, static_cast<int>(std::count_if(fleet.entries.begin(), fleet.entries.end(), [this](const auto& e) {
            return e.availability_zone == m_own_zone;
        })));
    for (const vm_record& vm : fleet.vms) {
        known.insert(vm.id);
        target& item = m_targets[vm.id];
        const bool is_serving = vm.state == vm_state::serving;
        if (item.vm.empty() || item.epoch != vm.epoch || (is_serving && !item.serving)) {
            // A returning VM starts without recorded failures, and its load is ramped up because its caches
            // are cold.
            item.consecutive_failures = 0;
            item.quarantine_count = 0;
            item.quarantined_until = timestamp{0};
            item.ramp_start = item.vm.empty() ? now - ramp_time : now;
            item.limit = 0;
        }
        item.vm = vm.id;
        item.epoch = vm.epoch;
        item.pool = vm.pool;
        item.availability_zone = vm.availability_zone;
        item.address = vm.address;
        item.port = vm.port;
        item.serving = is_serving;
        const auto pool = config.pools.find(vm.pool);
        if (pool == config.pools.end()) {
            item.serving = false;
            continue;
        }
        item.slots = static_cast<int>(std::min(pool->second.slots, pool->second.connections));
        if (item.limit == 0) {
            item.limit = std::max(1, item.slots / entries_in_zone);
        }
        if (item.serving) {
            m_vms_by_pool[vm.pool].push_back(vm.id);
        }
    }
    std::erase_if(m_targets, [&known](const auto& pair) {
        return !known.contains(pair.first) && pair.second.in_flight == 0;
    });
    for (auto& [id, item] : m_targets) {
        item.serving = item.serving && known.contains(id);
    }
}

target_table::pool_view target_table::compute_pool_view(const std::vector<std::string>& ids,
                                                        timestamp now) const {
    std::int64_t quarantined = 0;
    std::int64_t ramping = 0;
    for (const std::string& id : ids) {
        const target& item = m_targets.at(id);
        quarantined += item.quarantined_until > now ? 1 : 0;
        ramping += now - item.ramp_start < ramp_time ? 1 : 0;
    }
    const auto total = static_cast<std::int64_t>(ids.size());
    return {2 * quarantined > total, 2 * ramping > total};
}

int target_table::current_limit(const target& item, timestamp now, const pool_view& pool) const {
    if (m_policy == routing_policy::round_robin) {
        return item.slots;
    }
    if (item.quarantine_count > 0 && item.consecutive_failures > 0) {
        return 1; // After a quarantine the target gets one request at a time until one succeeds.
    }
    const milliseconds age = now - item.ramp_start;
    if (age >= ramp_time || pool.ignore_ramp) {
        return item.limit;
    }
    return std::max<int>(1, static_cast<int>(item.limit * age.count() / ramp_time.count()));
}

bool target_table::is_usable(const target& item, timestamp now, const pool_view& pool) const {
    return item.serving && item.in_flight < current_limit(item, now, pool) &&
           (pool.ignore_quarantine || item.quarantined_until <= now);
}

std::vector<const target_table::target*> target_table::find_candidates(const std::string& pool,
                                                                       const std::set<std::string>& tried,
                                                                       timestamp now) const {
    std::vector<const target*> usable;
    const auto ids = m_vms_by_pool.find(pool);
    if (ids == m_vms_by_pool.end()) {
        return usable;
    }
    const pool_view pool_now = compute_pool_view(ids->second, now);
    for (const std::string& id : ids->second) {
        const target& item = m_targets.at(id);
        if (is_usable(item, now, pool_now) && !tried.contains(id)) {
            usable.push_back(&item);
        }
    }
    const auto local = std::stable_partition(usable.begin(), usable.end(), [this](const target* item) {
        return item->availability_zone == m_own_zone;
    });
    if (local != usable.begin()) {
        usable.erase(local, usable.end());
    }
    return usable;
}

std::optional<target_choice> target_table::choose(const std::string& pool, const std::set<std::string>& tried,
                                                  timestamp now, random_source& random) {
    const target* chosen = nullptr;
    if (m_policy == routing_policy::round_robin) {
        const auto ids = m_vms_by_pool.find(pool);
        if (ids == m_vms_by_pool.end()) {
            return std::nullopt;
        }
        chosen = &m_targets.at(ids->second[m_next_index[pool]++ % ids->second.size()]);
    } else {
        const std::vector<const target*> usable = find_candidates(pool, tried, now);
        if (usable.empty()) {
            return std::nullopt;
        }
        const target* first = usable[random.next_below(usable.size())];
        const target* second = usable[random.next_below(usable.size())];
        chosen = first->in_flight <= second->in_flight ? first : second;
    }
    return target_choice{chosen->vm, chosen->epoch, chosen->address, chosen->port};
}

bool target_table::is_still_valid(const target_choice& choice, const std::string& pool) const {
    const auto found = m_targets.find(choice.vm);
    return found != m_targets.end() && found->second.serving && found->second.epoch == choice.epoch &&
           found->second.pool == pool;
}

void target_table::on_sent(const std::string& vm) {
    ++m_targets[vm].in_flight;
}

void target_table::on_finished(const std::string& vm, attempt_result result, timestamp now) {
    const auto found = m_targets.find(vm);
    if (found == m_targets.end()) {
        return;
    }
    target& item = found->second;
    const bool was_at_limit = item.in_flight >= item.limit;
    --item.in_flight;
    switch (result) {
    case attempt_result::answered:
    case attempt_result::answer_too_large:
        item.consecutive_failures = 0;
        item.quarantine_count = 0;
        item.successes_at_limit += was_at_limit ? 1 : 0;
        if (item.successes_at_limit >= successes_to_raise_limit && item.limit < item.slots) {
            ++item.limit;
            item.successes_at_limit = 0;
        }
        return;
    case attempt_result::refused_by_target:
        // Other entries use the target's slots too, and this entry doesn't see their requests. It therefore
        // lowers its own limit on a refusal.
        item.limit = std::max(1, std::min(item.limit - 1, item.in_flight));
        item.successes_at_limit = 0;
        return;
    case attempt_result::timed_out:
        // A timeout is weaker evidence of a fault than a broken connection, but a hung target causes only
        // timeouts.
    case attempt_result::connect_failed:
    case attempt_result::reset_after_send:
    case attempt_result::incomplete_answer:
        record_failure(item, now);
        return;
    }
}

void target_table::record_failure(target& item, timestamp now) {
    if (++item.consecutive_failures < failures_to_quarantine) {
        return;
    }
    const int doublings = std::min(item.quarantine_count, 5);
    item.quarantined_until = now + std::min(max_quarantine, initial_quarantine * (1 << doublings));
    ++item.quarantine_count;
}

void target_table::on_health_check(const std::string& vm, bool passed, timestamp now) {
    const auto found = m_targets.find(vm);
    if (found == m_targets.end()) {
        return;
    }
    if (!passed) {
        record_failure(found->second, now);
        return;
    }
    found->second.consecutive_failures = 0;
    found->second.quarantined_until = timestamp{0};
}

std::set<std::string> target_table::busy_vms() const {
    std::set<std::string> busy;
    for (const auto& [id, item] : m_targets) {
        if (!item.serving && item.in_flight > 0) {
            busy.insert(id);
        }
    }
    return busy;
}

std::set<std::string> target_table::suspect_vms() const {
    std::set<std::string> suspects;
    for (const auto& [id, item] : m_targets) {
        if (item.serving && item.consecutive_failures >= failures_to_quarantine) {
            suspects.insert(id);
        }
    }
    return suspects;
}

bool target_table::has_target(const std::string& pool) const {
    return m_vms_by_pool.contains(pool);
}

std::int64_t target_table::capacity(const std::string& pool, timestamp now) const {
    std::int64_t total = 0;
    if (const auto ids = m_vms_by_pool.find(pool); ids != m_vms_by_pool.end()) {
        const pool_view pool_now = compute_pool_view(ids->second, now);
        for (const std::string& id : ids->second) {
            const target& item = m_targets.at(id);
            const bool is_quarantined = item.quarantined_until > now && !pool_now.ignore_quarantine;
            total += is_quarantined ? 0 : current_limit(item, now, pool_now);
        }
    }
    return total;
}

std::int64_t target_table::in_flight(const std::string& pool) const {
    std::int64_t total = 0;
    for (const auto& [id, item] : m_targets) {
        total += item.pool == pool ? item.in_flight : 0;
    }
    return total;
}

} // namespace siskinpaddle
