#pragma once

#include "policy/fleet.hpp"
#include "policy/observations.hpp"

#include <string>
#include <vector>

namespace siskinpaddle {

/// Ids of the entries that a planned step waits for; empty when it waits for none.
using entry_ids = std::vector<std::string>;

/// Returns the registered entries that haven't reported fleet revision `revision` as applied. Such an entry
/// may still send work according to an older revision, so a step that withdraws a VM is not finished.
///
/// Covers entries that are frozen, partitioned or slow: their report is missing or old. Only a report by the
/// entry itself and by the registered incarnation counts. Pure.
[[nodiscard]] entry_ids find_entries_behind(const fleet_record& fleet, const observations& observed,
                                            std::uint64_t revision);

/// Returns the registered entries that have requests in progress at `vm`, or whose latest report doesn't
/// exclude this. Pure.
[[nodiscard]] entry_ids find_busy_entries(const fleet_record& fleet, const observations& observed,
                                          const vm_record& vm);

/// Time without a report after which an entry whose port refuses connections counts as gone.
inline constexpr milliseconds entry_silence_timeout = 3s;

/// Whether the process behind a registration is confirmed to have ended. A listening socket exists exactly as
/// long as its process, even while the process is frozen, so a refused connection at the registered port
/// proves that this incarnation has ended. A network partition shows as a timeout instead, which proves
/// nothing. Pure.
[[nodiscard]] bool is_entry_confirmed_gone(const entry_record& entry, const observations& observed,
                                           timestamp now);

} // namespace siskinpaddle
