#pragma once

#include "jobs/job.hpp"

#include <cstddef>
#include <deque>

namespace siskinpaddle::jobs {

struct start_settling_settings {
    /// A start is overdue after this many times the usual answer time, plus as many mean deviations.
    int answer_time_multiple = 4;
    milliseconds min_wait = 150ms; ///< Three slow round trips between availability zones.
    /// Timeout of the call: from then on the start counts as unanswered anyway.
    milliseconds call_timeout = 800ms;
    /// Answers that must have been measured before the estimate is used.
    std::size_t min_answers = 8;
    /// Bounds the calls that are added to the owner's link while many starts are unanswered.
    std::size_t max_per_second = 32;
};

/// Decides when a start without an answer is settled before its call times out, by a stop under the number of
/// its run. VMs can leave a part of their orders unanswered; a step ends with its last task, so that one such
/// start in a hundred delays many jobs by the call's timeout. Not thread-safe.
class start_settling {
  public:
    explicit start_settling(start_settling_settings settings = {}) : m_settings(settings) {}

    /// Records that a VM answered any call.
    void record_response(timestamp now) noexcept { m_last_response_at = now; }
    /// Records the answer of a VM to a start, also a refusal.
    void record_start_answer(timestamp sent_at, timestamp now);
    /// Time after which a start without an answer is overdue; `call_timeout` while too few were measured.
    [[nodiscard]] milliseconds wait() const noexcept;
    /// Whether a start is to be settled now; counts towards the limit per second if so. Only if other answers
    /// have arrived while this one was overdue: else the owner itself or its link may have paused.
    [[nodiscard]] bool settle(timestamp sent_at, timestamp now);
    /// Usual time from a start to its answer.
    [[nodiscard]] milliseconds answer_time() const noexcept;

  private:
    start_settling_settings m_settings;
    std::size_t m_answers = 0;
    double m_mean_ms = 0;
    double m_deviation_ms = 0; ///< Mean absolute difference from `m_mean_ms`.
    timestamp m_last_response_at{0};
    std::deque<timestamp> m_settled; ///< Starts that were settled within the last second, oldest first.
};

} // namespace siskinpaddle::jobs
