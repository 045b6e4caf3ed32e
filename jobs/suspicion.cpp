#include "jobs/suspicion.hpp"

#include <algorithm>
#include <cstddef>

namespace siskinpaddle::jobs {

namespace {

// In half crashes.
constexpr int crash_weight = 2;
constexpr int doubtful_weight = 1;
/// Three crashes give a task up if it was alone at the last one. Two could still be chance.
constexpr int given_up_alone = 3 * crash_weight;
/// Four do in company. The users' bound is the third start after the third crash.
constexpr int given_up_in_company = 4 * crash_weight;
/// Ends that no other task explains give it up in any case; the start after it could be that third one.
constexpr std::size_t most_ends = 5;
constexpr int isolated_from = crash_weight + doubtful_weight;
/// A program that crashes its VM does so at about the same point each time, but for the load of the VM and
/// for how soon its silence shows. Ends of VMs that have nothing to do with it come at any time.
constexpr int same_age_within_ms = 300;

/// VMs that lose power together are found silent within this time of each other, where their connections
/// break.
constexpr milliseconds together_within = 60ms;
constexpr std::size_t least_mass = 3;
constexpr std::size_t mass_share = 4; ///< One of so many VMs of the pool.
/// Ends older than this are together with none that is still to come.
constexpr milliseconds end_memory = 20s;

constexpr std::size_t risk_share = 3; ///< One of so many usable VMs.
constexpr std::size_t least_at_risk = 2;

int weight_of(const crash_evidence& item) noexcept {
    if (item.fate == vm_fate::silent) {
        return 0;
    }
    const bool doubtful = item.fate == vm_fate::lapsed || item.kind == evidence_kind::explained ||
                          item.kind == evidence_kind::mass || item.kind == evidence_kind::inferred;
    return doubtful ? doubtful_weight : crash_weight;
}

bool counts_fully(const crash_evidence& item) noexcept {
    return weight_of(item) == crash_weight;
}

/// Weight of the crashes that came at about the same age of their runs: the most that are.
int weight_at_one_age(std::span<const crash_evidence> evidence) noexcept {
    std::ptrdiff_t most = 0;
    for (const crash_evidence& youngest : evidence) {
        const auto near = [&](const crash_evidence& item) {
            return counts_fully(item) && item.age_ms >= youngest.age_ms &&
                   item.age_ms - youngest.age_ms <= same_age_within_ms;
        };
        most = std::max(most, counts_fully(youngest) ? std::ranges::count_if(evidence, near) : 0);
    }
    return static_cast<int>(most) * crash_weight;
}

} // namespace

suspicion suspicion_of(std::span<const crash_evidence> evidence) noexcept {
    int weight = weight_at_one_age(evidence);
    std::size_t unexplained = 0;
    bool alone_last = false;
    for (const crash_evidence& item : evidence) {
        const int counted = weight_of(item);
        if (counted == 0) {
            continue;
        }
        weight += counts_fully(item) ? 0 : counted;
        unexplained += item.kind == evidence_kind::explained ? 0 : 1;
        alone_last = counts_fully(item) && item.kind == evidence_kind::alone;
    }
    if (weight >= (alone_last ? given_up_alone : given_up_in_company) || unexplained >= most_ends) {
        return suspicion::given_up;
    }
    if (weight >= isolated_from) {
        return suspicion::isolated;
    }
    if (weight >= crash_weight) {
        return suspicion::suspected;
    }
    return weight > 0 ? suspicion::noted : suspicion::none;
}

std::vector<blamed_run> blame(const vm_end& end, bool mass) {
    if (end.cause == vm_end_cause::ordered || end.draining) {
        return {};
    }
    std::vector<blamed_run> blamed;
    for (const ended_run& item : end.runs) {
        if (item.age < proven_after) {
            blamed.push_back({item.task, evidence_kind::shared, item.age});
        }
    }
    const bool one_job = std::ranges::all_of(
        blamed, [&](const blamed_run& item) { return item.task.job == blamed.front().task.job; });
    for (blamed_run& item : blamed) {
        if (one_job && (end.isolated || !mass)) {
            item.kind = evidence_kind::alone;
        } else if (mass) {
            item.kind = evidence_kind::mass;
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
