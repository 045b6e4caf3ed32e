#include "jobs/suspicion.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Crashes that give a task up if it was alone at the last one. Two could still be chance.
constexpr std::size_t crashes_when_alone = 3;
/// Crashes that give it up in company. The users' bound is the third start after the third crash.
constexpr std::size_t crashes_in_company = 4;
/// Ends of any kind that give it up; the start after it could be that third one.
constexpr std::size_t most_ends = 5;
constexpr std::size_t crashes_to_isolate = 2;
constexpr std::size_t ends_to_isolate = 3;

/// VMs that lose power together are found silent within this time of each other, where their connections
/// break; about what a slow node's loop takes for a turn.
constexpr milliseconds together_within = 300ms;
constexpr std::size_t least_mass = 3;
constexpr std::size_t mass_share = 4; ///< One of so many VMs of the pool.
/// Ends older than this are together with none that is still to come.
constexpr milliseconds end_memory = 20s;

constexpr std::size_t risk_share = 3; ///< One of so many usable VMs.
constexpr std::size_t least_at_risk = 2;

bool is_crash(const crash_evidence& item) noexcept {
    return item.kind == evidence_kind::alone || item.kind == evidence_kind::shared ||
           item.kind == evidence_kind::inferred;
}

} // namespace

suspicion suspicion_of(std::span<const crash_evidence> evidence) noexcept {
    const auto crashes = static_cast<std::size_t>(std::ranges::count_if(evidence, is_crash));
    if (evidence.empty()) {
        return suspicion::none;
    }
    const bool alone_last = evidence.back().kind == evidence_kind::alone;
    if ((crashes >= crashes_when_alone && alone_last) || crashes >= crashes_in_company ||
        evidence.size() >= most_ends) {
        return suspicion::given_up;
    }
    if (crashes >= crashes_to_isolate || evidence.size() >= ends_to_isolate) {
        return suspicion::isolated;
    }
    return crashes > 0 ? suspicion::suspected : suspicion::noted;
}

std::vector<blamed_run> blame(const vm_end& end, bool mass) {
    if (end.cause == vm_end_cause::ordered || end.draining) {
        return {};
    }
    std::vector<blamed_run> blamed;
    for (const ended_run& item : end.runs) {
        if (item.age < proven_after) {
            blamed.push_back({item.task, evidence_kind::shared});
        }
    }
    const bool one_job = std::ranges::all_of(
        blamed, [&](const blamed_run& item) { return item.task.job == blamed.front().task.job; });
    for (blamed_run& item : blamed) {
        if (end.cause == vm_end_cause::lapsed) {
            item.kind = evidence_kind::silent;
        } else if (mass) {
            item.kind = evidence_kind::mass;
        } else if (one_job) {
            item.kind = evidence_kind::alone;
        }
    }
    return blamed;
}

void recent_ends::add(const std::string& vm, timestamp silent_from, timestamp now) {
    std::erase_if(m_entries,
                  [&](const entry& item) { return item.vm == vm || now - item.silent_from > end_memory; });
    m_entries.push_back({vm, silent_from});
}

std::size_t recent_ends::together(timestamp silent_from, std::span<const timestamp> silent) const {
    const auto near = [silent_from](timestamp other) {
        return other - silent_from <= together_within && silent_from - other <= together_within;
    };
    const auto ended = std::ranges::count_if(m_entries, near, &entry::silent_from);
    return static_cast<std::size_t>(ended + std::ranges::count_if(silent, near));
}

bool is_mass_loss(std::size_t together, std::size_t pool_vms) noexcept {
    return together >= least_mass && together * mass_share >= pool_vms;
}

std::size_t most_at_risk(std::size_t usable_vms) noexcept {
    return std::max(least_at_risk, usable_vms / risk_share);
}

} // namespace siskinpaddle::jobs
