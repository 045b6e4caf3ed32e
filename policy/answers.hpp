#pragma once

#include "policy/configuration.hpp"

#include <string_view>

namespace siskinpaddle {

/// How one attempt at a target ended.
enum class attempt_result : std::uint8_t {
    answered,          ///< A whole answer arrived.
    connect_failed,    ///< No byte of the request left this process.
    refused_by_target, ///< The target answered by its documented refusal: it did not run the request.
    reset_after_send,  ///< The connection ended before an answer began.
    timed_out,         ///< The deadline passed after bytes were sent.
    incomplete_answer, ///< The answer ended early or its end can't be told.
    answer_too_large,
};

template <>
inline constexpr std::array enum_names<attempt_result>{
    std::pair{attempt_result::answered, std::string_view("answered")},
    std::pair{attempt_result::connect_failed, std::string_view("connect-failed")},
    std::pair{attempt_result::refused_by_target, std::string_view("refused-by-target")},
    std::pair{attempt_result::reset_after_send, std::string_view("reset-after-send")},
    std::pair{attempt_result::timed_out, std::string_view("timed-out")},
    std::pair{attempt_result::incomplete_answer, std::string_view("incomplete-answer")},
    std::pair{attempt_result::answer_too_large, std::string_view("answer-too-large")}};

/// Whether the request can have run at all after an attempt that ended so.
[[nodiscard]] constexpr bool is_confirmed_not_run(attempt_result result) noexcept {
    return result == attempt_result::connect_failed || result == attempt_result::refused_by_target;
}

/// What we tell a caller about a request that we answer ourselves.
enum class outcome : std::uint8_t { not_run, unknown };

template <>
inline constexpr std::array enum_names<outcome>{std::pair{outcome::not_run, std::string_view("not-run")},
                                                std::pair{outcome::unknown, std::string_view("unknown")}};

/// Codes of our own answers to callers.
enum class answer_code : std::uint8_t {
    no_route,
    bad_request,
    request_too_large,
    not_ready,
    shutting_down,
    overloaded,
    member_share_used,
    deadline_too_short,
    deadline_passed_in_queue,
    no_target,
    target_unreachable,
    target_busy,
    claims_unavailable,
    already_claimed,
    target_reset,
    target_timeout,
    incomplete_answer,
    answer_too_large,
};

/// Fixed properties of one answer code.
struct answer_rule {
    answer_code code;
    std::string_view name;
    int status;
    outcome result;
    int retry_after_s; ///< 0: coming back would not help, no Retry-After.
};

/// The one table behind every answer that we give ourselves.
inline constexpr std::array answer_rules{
    answer_rule{answer_code::no_route, "no-route", 404, outcome::not_run, 0},
    answer_rule{answer_code::bad_request, "bad-request", 400, outcome::not_run, 0},
    answer_rule{answer_code::request_too_large, "request-too-large", 413, outcome::not_run, 0},
    answer_rule{answer_code::not_ready, "not-ready", 503, outcome::not_run, 1},
    answer_rule{answer_code::shutting_down, "shutting-down", 503, outcome::not_run, 1},
    answer_rule{answer_code::overloaded, "overloaded", 503, outcome::not_run, 1},
    answer_rule{answer_code::member_share_used, "member-share-used", 503, outcome::not_run, 1},
    answer_rule{answer_code::deadline_too_short, "deadline-too-short", 503, outcome::not_run, 1},
    answer_rule{answer_code::deadline_passed_in_queue, "deadline-passed-in-queue", 503, outcome::not_run, 1},
    answer_rule{answer_code::no_target, "no-target", 503, outcome::not_run, 2},
    answer_rule{answer_code::target_unreachable, "target-unreachable", 503, outcome::not_run, 1},
    answer_rule{answer_code::target_busy, "target-busy", 503, outcome::not_run, 1},
    answer_rule{answer_code::claims_unavailable, "claims-unavailable", 503, outcome::not_run, 5},
    answer_rule{answer_code::already_claimed, "already-claimed", 409, outcome::unknown, 0},
    answer_rule{answer_code::target_reset, "target-reset", 502, outcome::unknown, 0},
    answer_rule{answer_code::target_timeout, "target-timeout", 504, outcome::unknown, 0},
    answer_rule{answer_code::incomplete_answer, "incomplete-answer", 502, outcome::unknown, 0},
    answer_rule{answer_code::answer_too_large, "answer-too-large", 502, outcome::unknown, 0},
};

[[nodiscard]] const answer_rule& find_answer_rule(answer_code code);

/// What to do after an attempt.
enum class next_step : std::uint8_t { deliver, retry, give_up };

/// All that decides what follows an attempt.
struct attempt_context {
    attempt_result result = attempt_result::answered;
    bool repeatable = false;       ///< May the request be sent twice?
    bool may_have_run = false;     ///< Did an earlier attempt possibly run it?
    int attempts = 1;              ///< Attempts so far, this one included.
    milliseconds remaining{0};     ///< Until the deadline.
    bool has_retry_budget = false; ///< Does the retry budget allow one more?
};

/// Decision after one attempt.
struct attempt_verdict {
    next_step step = next_step::give_up;
    answer_code code = answer_code::target_reset; ///< Only with `give_up`.
};

/// Most attempts at one request.
inline constexpr int max_attempts = 3;

/// Decides what follows an attempt. Pure. `not-run` is said only if no attempt can have reached a target:
/// once one may have run the request, later refusals don't change that.
[[nodiscard]] attempt_verdict decide_next_step(const attempt_context& context);

/// Whether the method may be repeated without a route's word (RFC 9110, safe methods).
[[nodiscard]] bool is_safe_method(std::string_view method);

/// Whether a request by `method` on a route with `rule` may be sent twice.
[[nodiscard]] bool is_repeatable(repeatable_rule rule, std::string_view method);

} // namespace siskinpaddle
