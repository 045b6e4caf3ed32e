#include "policy/policy.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;

TEST_CASE("the action after an attempt depends on its result and on the attempts before it") {
    struct row {
        attempt_result result;
        bool repeatable;
        bool sent_before;
        int attempts;
        milliseconds remaining;
        bool budget;
        next_step step;
        answer_code code;
    };
    using r = attempt_result;
    using s = next_step;
    using c = answer_code;
    const std::vector<row> rows{
        {r::answered, false, false, 1, 1s, true, s::deliver, {}},
        {r::connect_failed, false, false, 1, 1s, true, s::retry, {}},
        {r::connect_failed, false, false, 3, 1s, true, s::give_up, c::target_unreachable},
        {r::connect_failed, false, false, 1, 1s, false, s::give_up, c::target_unreachable},
        {r::connect_failed, false, false, 1, 5ms, true, s::give_up, c::target_unreachable},
        {r::refused_by_target, false, false, 1, 1s, true, s::retry, {}},
        {r::refused_by_target, false, false, 3, 1s, true, s::give_up, c::target_busy},
        // After an attempt that may have run the request, a later refusal doesn't change the outcome to
        // not-run.
        {r::refused_by_target, true, true, 3, 1s, true, s::give_up, c::target_reset},
        {r::connect_failed, true, true, 3, 1s, true, s::give_up, c::target_reset},
        {r::reset_after_send, false, false, 1, 1s, true, s::give_up, c::target_reset},
        {r::reset_after_send, true, false, 1, 1s, true, s::retry, {}},
        {r::timed_out, false, false, 1, 0ms, true, s::give_up, c::target_timeout},
        {r::timed_out, true, false, 1, 0ms, true, s::give_up, c::target_timeout},
        {r::incomplete_answer, false, false, 1, 1s, true, s::give_up, c::incomplete_answer},
        {r::incomplete_answer, true, false, 1, 1s, true, s::retry, {}},
        {r::answer_too_large, true, false, 1, 1s, true, s::give_up, c::answer_too_large},
        {r::answer_too_large, false, false, 1, 1s, true, s::give_up, c::answer_too_large},
    };
    for (const row& item : rows) {
        CAPTURE(name_of(item.result));
        CAPTURE(item.attempts);
        const attempt_verdict verdict = decide_next_step(
            {item.result, item.repeatable, item.sent_before, item.attempts, item.remaining, item.budget});
        CHECK(verdict.step == item.step);
        if (item.step == next_step::give_up) {
            CHECK(verdict.code == item.code);
        }
    }
}

TEST_CASE("not-run is never reported after an attempt that may have run the request") {
    for (int result = 0; result <= static_cast<int>(attempt_result::answer_too_large); ++result) {
        for (const bool repeatable : {false, true}) {
            for (const bool sent_before : {false, true}) {
                for (int attempts = 1; attempts <= max_attempts; ++attempts) {
                    const auto kind = static_cast<attempt_result>(result);
                    const attempt_verdict verdict = decide_next_step(
                        {kind, repeatable, sent_before, attempts, 1s, attempts < max_attempts});
                    const bool may_have_run = sent_before || !is_confirmed_not_run(kind);
                    if (verdict.step == next_step::give_up && may_have_run) {
                        CHECK(find_answer_rule(verdict.code).result == outcome::unknown);
                    }
                    if (verdict.step == next_step::retry && !repeatable) {
                        CHECK(is_confirmed_not_run(kind));
                    }
                }
            }
        }
    }
}

TEST_CASE("every answer code has one rule; exactly those with status 503 set Retry-After") {
    for (int code = 0; code <= static_cast<int>(answer_code::answer_too_large); ++code) {
        const answer_rule& rule = find_answer_rule(static_cast<answer_code>(code));
        CAPTURE(rule.name);
        CHECK(rule.code == static_cast<answer_code>(code));
        CHECK((rule.status == 503) == (rule.retry_after_s > 0));
        CHECK((rule.result == outcome::unknown) ==
              (rule.status == 502 || rule.status == 504 || rule.status == 409));
    }
    CHECK(answer_rules.size() == static_cast<std::size_t>(answer_code::answer_too_large) + 1);
}

TEST_CASE("method and route determine whether a request may be sent twice") {
    struct row {
        repeatable_rule rule;
        const char* method;
        bool repeatable;
    };
    for (const row& r : std::vector<row>{{repeatable_rule::safe_methods, "GET", true},
                                         {repeatable_rule::safe_methods, "HEAD", true},
                                         {repeatable_rule::safe_methods, "POST", false},
                                         {repeatable_rule::safe_methods, "PUT", false},
                                         {repeatable_rule::safe_methods, "DELETE", false},
                                         {repeatable_rule::yes, "POST", true},
                                         {repeatable_rule::no, "GET", false}}) {
        CAPTURE(r.method);
        CHECK(is_repeatable(r.rule, r.method) == r.repeatable);
    }
}
