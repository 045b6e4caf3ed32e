#pragma once

#include "policy/configuration.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinpaddle {

/// One accepted change. Changes are kept in the stored value to answer conflicting or repeated patches.
struct accepted_change {
    std::uint64_t number = 0; ///< The configuration number that the change produced.
    std::string write_id;     ///< Identifies the submission; the same for each of its retries.
    std::string member;
    std::vector<std::string> paths; ///< JSON pointers that changed.
};

/// Value of the configuration key in the store: the newest document and the latest changes.
struct stored_configuration {
    std::uint64_t number = 0;
    boost::json::value document;
    std::vector<accepted_change> history; ///< Oldest first, at most `max_history`.

    static constexpr std::size_t max_history = 200;
};

/// An operator's request to change the configuration.
struct patch_request {
    std::string member;             ///< Member whose credential authenticated the request.
    std::uint64_t base_number = 0;  ///< Number of the configuration that the patch is based on.
    std::string write_id;           ///< Identifies the submission; the same for each of its retries.
    boost::json::value merge_patch; ///< JSON Merge Patch (RFC 7396).
};

enum class patch_verdict { accepted, already_accepted, conflict, not_owner, invalid, no_change };

template <>
inline constexpr std::array enum_names<patch_verdict>{
    std::pair{patch_verdict::accepted, std::string_view("accepted")},
    std::pair{patch_verdict::already_accepted, std::string_view("already-accepted")},
    std::pair{patch_verdict::conflict, std::string_view("conflict")},
    std::pair{patch_verdict::not_owner, std::string_view("not-owner")},
    std::pair{patch_verdict::invalid, std::string_view("invalid")},
    std::pair{patch_verdict::no_change, std::string_view("no-change")}};

/// Result of a patch.
struct patch_result {
    patch_verdict verdict = patch_verdict::invalid;
    std::uint64_t number = 0;               ///< The number in force, or the number that the patch received.
    std::vector<std::string> changed_paths; ///< On a conflict: paths changed since the patch's base number.
    findings problems;
    stored_configuration next; ///< Only with `accepted`: the value to store.
};

/// Checks a patch and applies it to the stored value. Pure. A patch based on an older number is refused
/// entirely, even when its paths don't overlap with the newer changes: its author has not seen the newer
/// state that the checks depend on.
[[nodiscard]] patch_result apply_patch(const stored_configuration& current, const patch_request& request);

/// Returns `target` with `patch` applied according to RFC 7396.
[[nodiscard]] boost::json::value merge_patch(boost::json::value target, const boost::json::value& patch);

/// Returns the JSON pointers of the outermost values that differ between two documents.
[[nodiscard]] std::vector<std::string> find_changed_paths(const boost::json::value& before,
                                                          const boost::json::value& after);

/// Whether `member` may change the value at `path`. Ownership is checked in the configurations before and
/// after the change, so that no member can take over or give away another member's pool.
[[nodiscard]] bool can_change(const configuration& before, const configuration& after,
                              const std::string& member, const std::string& path);

/// Encodes the stored value as JSON.
[[nodiscard]] std::string encode_stored_configuration(const stored_configuration& stored);

/// Decodes the output of `encode_stored_configuration`; damage is reported in `out`.
[[nodiscard]] stored_configuration decode_stored_configuration(std::string_view text, findings& out);

} // namespace siskinpaddle
