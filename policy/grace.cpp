#include "policy/grace.hpp"

namespace siskinpaddle {

namespace {

const entry_report* report_of(const entry_record& entry, const observations& seen) {
    const auto found = seen.entries.find(entry.id);
    if (found == seen.entries.end() || found->second.incarnation != entry.incarnation) {
        return nullptr;
    }
    return &found->second;
}

} // namespace

waiting_list entries_behind(const fleet_record& fleet, const observations& seen, std::uint64_t revision) {
    waiting_list behind;
    for (const entry_record& entry : fleet.entries) {
        const entry_report* report = report_of(entry, seen);
        if (report == nullptr || report->applied_fleet < revision) {
            behind.push_back(entry.id);
        }
    }
    return behind;
}

waiting_list entries_busy(const fleet_record& fleet, const observations& seen, const vm_record& vm) {
    waiting_list busy;
    for (const entry_record& entry : fleet.entries) {
        const entry_report* report = report_of(entry, seen);
        if (report == nullptr || report->applied_fleet < vm.since || report->busy_vms.contains(vm.id)) {
            busy.push_back(entry.id);
        }
    }
    return busy;
}

bool entry_proven_gone(const entry_record& entry, const observations& seen, timestamp now) {
    const auto found = seen.entries.find(entry.id);
    if (found == seen.entries.end()) {
        return false;
    }
    const entry_report& report = found->second;
    return report.process_gone && report.incarnation == entry.incarnation &&
           now - report.heard >= entry_silence_bound;
}

} // namespace siskinpaddle
