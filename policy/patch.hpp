#pragma once

#include "policy/configuration.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinpaddle {

/// One accepted change, kept in the stored value so that a conflicting or repeated patch can be answered.
struct accepted_change {
    std::uint64_t number = 0; ///< The configuration number that the change produced.
    std::string write_id;     ///< Identifies the submission; the same for each retry of it.
    std::string member;
    std::vector<std::string> paths; ///< JSON pointers that changed.
};

/// The value under the store's configuration key: the newest document and the latest changes.
struct stored_configuration {
    std::uint64_t number = 0;
    boost::json::value document;
    std::vector<accepted_change> history; ///< Oldest first, at most `max_history`.

    static constexpr std::size_t max_history = 200;
};

/// An operator's request to change the configuration.
struct patch_request {
    std::string member;             ///< Whose credential came with it.
    std::uint64_t base_number = 0;  ///< The number that the patch was written against.
    std::string write_id;           ///< Names this submission; retries carry the same one.
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

/// What became of a patch.
struct patch_result {
    patch_verdict verdict = patch_verdict::invalid;
    std::uint64_t number = 0;               ///< The number now in force, or that the patch received.
    std::vector<std::string> changed_paths; ///< On a conflict: what changed since the patch's number.
    findings problems;
    stored_configuration next; ///< Only with `accepted`: the value to store.
};

/// Decides on a patch against the stored value. Pure. A patch against an older number is refused whole, even
/// where the paths don't meet: its author has not seen the newer state that the checks depend on.
[[nodiscard]] patch_result apply_patch(const stored_configuration& current, const patch_request& request);

/// `patch` applied to `target` after RFC 7396.
[[nodiscard]] boost::json::value merge_patch(boost::json::value target, const boost::json::value& patch);

/// JSON pointers of the outermost values that differ between two documents.
[[nodiscard]] std::vector<std::string> find_changed_paths(const boost::json::value& before,
                                                          const boost::json::value& after);

/// Whether `member` owns everything at `path`, judged in the configurations before and after a change, so
/// that nobody can take over or give away a rival's pool.
[[nodiscard]] bool can_change(const configuration& before, const configuration& after,
                              const std::string& member, const std::string& path);

/// Text form of the stored value.
[[nodiscard]] std::string encode_stored_configuration(const stored_configuration& stored);

/// Reads what `encode_stored_configuration` wrote; a damaged value is reported in `out`.
[[nodiscard]] stored_configuration decode_stored_configuration(std::string_view text, findings& out);

} // namespace siskinpaddle
