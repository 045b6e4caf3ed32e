#pragma once

#include "net/net.hpp"
#include "policy/policy.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskinpaddle {

/// HTTP headers of the callers' interface, described in docs/INTERFACES.md.
inline constexpr const char* deadline_header = "Deadline-Ms";
inline constexpr const char* idempotency_header = "Idempotency-Key";
inline constexpr const char* outcome_header = "Siskinpaddle-Outcome";
inline constexpr const char* request_id_header = "Siskinpaddle-Request";
/// A target refuses a request without running it by answering 503 with this header set to "not-run".
inline constexpr const char* refusal_header = "Target-Refusal";

/// State of one caller's request, from its arrival to its final answer.
struct caller_request {
    std::uint64_t id = 0;
    std::shared_ptr<server_request> incoming;
    std::string pool;
    std::string member;
    bool repeatable = false;
    timestamp arrived_at{0};
    timestamp deadline{0};

    std::optional<claim_key> key;
    std::uint64_t nonce = 0;
    bool claimed = false;

    int attempts = 0;
    bool may_have_run = false; ///< An earlier attempt may have run the request.
    std::set<std::string> tried_vms;
    std::optional<target_choice> target;
    timestamp sent_at{0};
};

/// Whether a header applies to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/// Validates the headers and the path of a request. A request with findings must not be sent to a target; a
/// well-formed request has none.
[[nodiscard]] findings check_request(const server_request& request);

/// Returns the time limit from the request's Deadline-Ms header, or the route's timeout if the header is
/// absent or not a number.
[[nodiscard]] milliseconds resolve_timeout(const server_request& request, const route_settings& route);

/// Builds the call that forwards `request` to `target`: hop-by-hop headers are removed, and the deadline and
/// request id headers are set by this entry.
[[nodiscard]] http_call make_target_call(const caller_request& request, const target_choice& target,
                                         timestamp now);

/// Classifies the outcome of one exchange with a target.
[[nodiscard]] attempt_result to_attempt_result(const http_answer& answer);

} // namespace siskinpaddle
