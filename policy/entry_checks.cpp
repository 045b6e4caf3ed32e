#include "policy/entry_checks.hpp"

namespace siskinpaddle {

namespace {

const entry_report* find_report(const entry_record& entry, const observations& observed) {
    const auto found = observed.entries.find(entry.id);
    if (found == observed.entries.end() || found->second.incarnation != entry.incarnation) {
        return nullptr;
    }
    return &found->second;
}

} // namespace

entry_ids find_entries_behind(const fleet_record& fleet, const observations& observed,
                              std::uint64_t revision) {
    entry_ids behind;
    for (const entry_record& entry : fleet.entries) {
        const entry_report* report = find_report(entry, observed);
        if (report == nullptr || report->applied_fleet < revision) {
            behind.push_back(entry.id);
        }
    }
    return behind;
}

entry_ids find_busy_entries(const fleet_record& fleet, const observations& observed, const vm_record& vm) {
    entry_ids busy;
    for (const entry_record& entry : fleet.entries) {
        const entry_report* report = find_report(entry, observed);
        if (report == nullptr || report->applied_fleet < vm.state_revision ||
            report->busy_vms.contains(vm.id)) {
            busy.push_back(entry.id);
        }
    }
    return busy;
}

bool is_entry_confirmed_gone(const entry_record& entry, const observations& observed, timestamp now) {
    const auto found = observed.entries.find(entry.id);
    if (found == observed.entries.end()) {
        return false;
    }
    const entry_report& report = found->second;
    return report.has_process_ended && report.incarnation == entry.incarnation &&
           now - report.received_at >= entry_silence_timeout;
}

} // namespace siskinpaddle
