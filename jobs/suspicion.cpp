#include "jobs/suspicion.hpp"

#include <algorithm>
#include <cstddef>

namespace siskinpaddle::jobs {

namespace {

// Weights are in half crashes.
constexpr int crash_weight = 2;
constexpr int uncertain_weight = 1;
/// Three crashes give a task up if it was alone at the last one. Two could still be coincidence.
constexpr int give_up_weight_alone = 3 * crash_weight;
/// Otherwise four crashes are needed. The users require that no third start follows the third crash.
constexpr int give_up_weight_shared = 4 * crash_weight;
/// A task is given up in any case after this many ends that no other task explains: its next start could be
/// that third one.
constexpr std::size_t max_unexplained_ends = 5;
constexpr int isolation_weight = crash_weight + uncertain_weight;
/// Difference of ages within which crashes count as the same. A program that crashes its VM does so at about
/// the same point each time, apart from the load of the VM and the time until it is found unresponsive.
/// Unrelated ends of VMs come at any age.
constexpr int same_age_tolerance_ms = 300;

/// VMs that lose power together are found unresponsive within this time of each other if their connections
/// break.
constexpr milliseconds simultaneous_within = 60ms;
constexpr std::size_t min_mass_loss = 3;
constexpr std::size_t mass_loss_divisor = 4; ///< One in this many VMs of the pool.
/// Suspected tasks that start together could crash this share of a mass loss.
constexpr std::size_t mass_loss_margin = 2;
/// Ends older than this can't coincide with a later end.
constexpr milliseconds end_retention = 20s;

constexpr std::size_t at_risk_divisor = 3; ///< One in this many usable VMs.
constexpr std::size_t min_vms_at_risk = 2;

int weight_of(const crash_evidence& item) noexcept {
    if (item.certainty == end_certainty::unresponsive) {
        return 0;
    }
    const bool is_uncertain = item.certainty == end_certainty::lease_expired ||
                              item.kind == evidence_kind::explained || item.kind == evidence_kind::mass ||
                              item.kind == evidence_kind::inferred;
    return is_uncertain ? uncertain_weight : crash_weight;
}

bool has_full_weight(const crash_evidence& item) noexcept {
    return weight_of(item) == crash_weight;
}

/// Weight of the largest group of crashes that came at about the same age of their runs.
int weight_at_same_age(std::span<const crash_evidence> evidence) noexcept {
    std::ptrdiff_t most = 0;
    for (const crash_evidence& youngest : evidence) {
        const auto near = [&](const crash_evidence& item) {
            return has_full_weight(item) && item.age_ms >= youngest.age_ms &&
                   item.age_ms - youngest.age_ms <= same_age_tolerance_ms;
        };
        most = std::max(most, has_full_weight(youngest) ? std::ranges::count_if(evidence, near) : 0);
    }
    return static_cast<int>(most) * crash_weight;
}

} // namespace

suspicion suspicion_of(std::span<const crash_evidence> evidence) noexcept {
    int weight = weight_at_same_age(evidence);
    std::size_t unexplained = 0;
    bool last_was_alone = false;
    for (const crash_evidence& item : evidence) {
        const int counted = weight_of(item);
        if (counted == 0) {
            continue;
        }
        weight += has_full_weight(item) ? 0 : counted;
        unexplained += item.kind == evidence_kind::explained ? 0 : 1;
        last_was_alone = has_full_weight(item) && item.kind == evidence_kind::alone;
    }
    if (weight >= (last_was_alone ? give_up_weight_alone : give_up_weight_shared) ||
        unexplained >= max_unexplained_ends) {
        return suspicion::given_up;
    }
    if (weight >= isolation_weight) {
        return suspicion::isolated;
    }
    if (weight >= crash_weight) {
        return suspicion::suspected;
    }
    return weight > 0 ? suspicion::noted : suspicion::none;
}

std::vector<suspect_run> find_suspect_runs(const vm_end& end, bool mass) {
    if (end.cause == vm_end_cause::ordered || end.draining) {
        return {};
    }
    std::vector<suspect_run> suspects;
    for (const ended_run& item : end.runs) {
        if (item.age < proven_after) {
            suspects.push_back({item.task, evidence_kind::shared, item.age});
        }
    }
    const bool one_job = std::ranges::all_of(
        suspects, [&](const suspect_run& item) { return item.task.job == suspects.front().task.job; });
    for (suspect_run& item : suspects) {
        if (one_job && (end.isolated || !mass)) {
            item.kind = evidence_kind::alone;
        } else if (mass) {
            item.kind = evidence_kind::mass;
        }
    }
    return suspects;
}

void recent_vm_ends::add(const std::string& vm, timestamp unresponsive_since, timestamp now) {
    std::erase_if(m_entries, [&](const ended_vm& item) {
        return item.vm == vm || now - item.unresponsive_since > end_retention;
    });
    m_entries.push_back({vm, unresponsive_since});
}

std::size_t recent_vm_ends::count_simultaneous(timestamp unresponsive_since,
                                               std::span<const timestamp> unresponsive) const {
    const auto near = [unresponsive_since](timestamp other) {
        return other - unresponsive_since <= simultaneous_within &&
               unresponsive_since - other <= simultaneous_within;
    };
    const auto ended = std::ranges::count_if(m_entries, near, &ended_vm::unresponsive_since);
    return static_cast<std::size_t>(ended + std::ranges::count_if(unresponsive, near));
}

bool is_mass_loss(std::size_t simultaneous, std::size_t pool_vms) noexcept {
    return simultaneous >= min_mass_loss && simultaneous * mass_loss_divisor >= pool_vms;
}

std::size_t max_suspect_jobs_together(std::size_t pool_vms) noexcept {
    const std::size_t mass_loss = std::max(min_mass_loss, pool_vms / mass_loss_divisor);
    return std::max<std::size_t>(1, mass_loss / mass_loss_margin);
}

std::size_t max_vms_at_risk(std::size_t usable_vms) noexcept {
    return std::max(min_vms_at_risk, usable_vms / at_risk_divisor);
}

} // namespace siskinpaddle::jobs
