#include "policy/answers.hpp"

namespace siskinpaddle {

namespace {

/// No further attempt is made when less time than this is left.
constexpr milliseconds min_retry_time = 20ms;

answer_code answer_code_for(attempt_result result) {
    switch (result) {
    case attempt_result::connect_failed:
        return answer_code::target_unreachable;
    case attempt_result::refused_by_target:
        return answer_code::target_busy;
    case attempt_result::timed_out:
        return answer_code::target_timeout;
    case attempt_result::incomplete_answer:
        return answer_code::incomplete_answer;
    case attempt_result::answer_too_large:
        return answer_code::answer_too_large;
    case attempt_result::answered:
    case attempt_result::reset_after_send:
        break;
    }
    return answer_code::target_reset;
}

} // namespace

const answer_rule& find_answer_rule(answer_code code) {
    for (const answer_rule& rule : answer_rules) {
        if (rule.code == code) {
            return rule;
        }
    }
    return answer_rules.front();
}

attempt_verdict decide_next_step(const attempt_context& context) {
    if (context.result == attempt_result::answered) {
        return {next_step::deliver, {}};
    }
    const bool is_safe_to_retry = is_confirmed_not_run(context.result) || context.repeatable;
    // The answer would be too large from any target, so a retry only adds load.
    const bool can_retry_help = context.result != attempt_result::answer_too_large;
    if (is_safe_to_retry && can_retry_help && context.has_retry_budget && context.attempts < max_attempts &&
        context.remaining >= min_retry_time) {
        return {next_step::retry, {}};
    }
    if (is_confirmed_not_run(context.result) && context.may_have_run) {
        return {next_step::give_up, answer_code::target_reset};
    }
    return {next_step::give_up, answer_code_for(context.result)};
}

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

bool is_repeatable(repeatable_rule rule, std::string_view method) {
    switch (rule) {
    case repeatable_rule::yes:
        return true;
    case repeatable_rule::no:
        return false;
    case repeatable_rule::safe_methods:
        break;
    }
    return is_safe_method(method);
}

} // namespace siskinpaddle
