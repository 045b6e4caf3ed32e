#pragma once

#include "net/net.hpp"
#include "policy/policy.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskinpaddle {

/// Headers of the callers' interface; docs/INTERFACES.md describes them.
inline constexpr const char* deadline_header = "Deadline-Ms";
inline constexpr const char* idempotency_header = "Idempotency-Key";
inline constexpr const char* outcome_header = "Siskinpaddle-Outcome";
inline constexpr const char* request_id_header = "Siskinpaddle-Request";
/// A target's documented refusal: 503 with this header set to "not-run".
inline constexpr const char* refusal_header = "Target-Refusal";

/// One caller's request from arrival to final answer.
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
    bool may_have_run = false; ///< An earlier attempt may have run it.
    std::set<std::string> tried_vms;
    std::optional<target_choice> target;
    timestamp sent_at{0};
};

/// Whether a header only concerns one connection and must not be passed on (RFC 9110, section 7.6.1).
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/// Findings about a request that no target should see; empty when it is well-formed.
[[nodiscard]] findings check_request(const server_request& request);

/// The deadline that a caller set, or the route's.
[[nodiscard]] milliseconds resolve_timeout(const server_request& request, const route_settings& route);

/// The request as it goes to a target.
[[nodiscard]] http_call make_target_call(const caller_request& request, const target_choice& target,
                                         timestamp now);

/// How a target's exchange counts.
[[nodiscard]] attempt_result to_attempt_result(const http_answer& answer);

} // namespace siskinpaddle
