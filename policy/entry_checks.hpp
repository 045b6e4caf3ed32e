#pragma once

#include "policy/fleet.hpp"
#include "policy/observations.hpp"

#include <string>
#include <vector>

namespace siskinpaddle {

/// Whom a planned step waits for; empty when nobody.
using entry_ids = std::vector<std::string>;

/// Registered entries that haven't reported fleet revision `revision` as applied. Until an entry has, it may
/// still send work by older knowledge, so a step that takes a right away is not finished.
///
/// Guards against an entry that is frozen, cut off or slow: it shows as a missing or old report, and the
/// guard holds because only the entry's own report of this incarnation counts. Pure.
[[nodiscard]] entry_ids find_entries_behind(const fleet_record& fleet, const observations& seen,
                                            std::uint64_t revision);

/// Registered entries that still have requests in progress at `vm`, or can't be known not to. Pure.
[[nodiscard]] entry_ids find_busy_entries(const fleet_record& fleet, const observations& seen,
                                          const vm_record& vm);

/// Time after which an unheard entry whose port refuses connections is taken to be gone.
inline constexpr milliseconds entry_silence_timeout = 3s;

/// Whether the process behind a registration is proven gone. A listening socket lives exactly as long as its
/// process, also while the process is frozen, so a refused connection at the registered port proves that this
/// incarnation has ended; a cut network shows as a timeout instead, which proves nothing. Pure.
[[nodiscard]] bool is_entry_confirmed_gone(const entry_record& entry, const observations& seen,
                                           timestamp now);

} // namespace siskinpaddle
