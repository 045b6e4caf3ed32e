#include "jobs/job_state.hpp"

#include <algorithm>
#include <cassert>

namespace siskinpaddle::jobs {

namespace {

constexpr char done_mark = '1';
constexpr char pending_mark = '0';

std::int64_t critical_path_of(const job_spec& spec) {
    std::vector<std::int64_t> ends(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        std::int64_t begin = 0;
        for (const std::uint32_t before : spec.steps[i].after) {
            begin = std::max(begin, ends[before]);
        }
        ends[i] = begin + spec.steps[i].estimate_ms;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

/// For each step, the estimated duration of the longest chain of steps that depend on it.
std::vector<std::int64_t> times_after_steps(const job_spec& spec) {
    std::vector<std::int64_t> after(spec.steps.size(), 0);
    for (std::size_t i = spec.steps.size(); i-- > 0;) {
        for (const std::uint32_t before : spec.steps[i].after) {
            after[before] = std::max(after[before], spec.steps[i].estimate_ms + after[i]);
        }
    }
    return after;
}

} // namespace

findings validate_job(const job_spec& spec) {
    findings problems;
    std::uint64_t tasks = 0;
    if (spec.steps.empty()) {
        problems.add("/steps", "a job needs at least one step");
    }
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const std::string step_path = "/steps/" + std::to_string(i);
        tasks += spec.steps[i].count;
        if (spec.steps[i].count == 0) {
            problems.add(step_path + "/count", "must be at least 1");
        }
        for (const std::uint32_t before : spec.steps[i].after) {
            if (before >= i) {
                problems.add(step_path + "/after", "may only name earlier steps");
            }
        }
    }
    if (tasks * std::max<std::uint64_t>(1, spec.occurrences) > max_tasks_per_job) {
        problems.add("/steps", "more than " + std::to_string(max_tasks_per_job) + " tasks");
    }
    return problems;
}

job_state::job_state(job_spec spec, timestamp accepted_at, std::string account)
    : m_spec(std::move(spec)), m_account(std::move(account)), m_accepted_at(accepted_at),
      m_critical_path_ms(critical_path_of(m_spec)), m_times_after_steps(times_after_steps(m_spec)) {
    for (const step_spec& step : m_spec.steps) {
        m_step_offsets.push_back(m_tasks_per_occurrence);
        m_tasks_per_occurrence += step.count;
        m_requires_label = m_requires_label || !step.required_label.empty();
    }
    m_tasks.resize(static_cast<std::size_t>(m_tasks_per_occurrence) * m_spec.occurrences);
    for (task_state& item : m_tasks) {
        item.idle_since = accepted_at;
    }
    for (std::uint32_t occurrence = 0; occurrence < m_spec.occurrences; ++occurrence) {
        for (const step_spec& step : m_spec.steps) {
            m_counts.push_back({step.count, step.count});
        }
    }
    m_unfinished_tasks = static_cast<std::uint32_t>(m_tasks.size());
    m_idle_tasks = m_unfinished_tasks;
}

bool job_state::contains(const task_id& id) const noexcept {
    return id.occurrence < m_spec.occurrences && id.step < m_spec.steps.size() &&
           id.index < m_spec.steps[id.step].count;
}

std::size_t job_state::task_index(const task_id& id) const {
    assert(contains(id));
    return static_cast<std::size_t>(id.occurrence) * m_tasks_per_occurrence + m_step_offsets[id.step] +
           id.index;
}

task_state& job_state::task(const task_id& id) {
    return m_tasks[task_index(id)];
}

const task_state& job_state::task(const task_id& id) const {
    return m_tasks[task_index(id)];
}

task_id job_state::id_of(step_position position, std::uint32_t index) const {
    return {m_spec.id, position.occurrence, position.step, index};
}

bool job_state::dependencies_done(step_position position) const {
    return std::ranges::all_of(m_spec.steps[position.step].after, [&](std::uint32_t before) {
        return counts(step_position{position.occurrence, before}).unfinished == 0;
    });
}

std::uint32_t job_state::startable_tasks(step_position position) const {
    const step_spec& step = m_spec.steps[position.step];
    if (!m_may_have_unknown_runs || step.speculative) {
        return idle_tasks(position);
    }
    std::uint32_t count = 0;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_state& item = task(id_of(position, index));
        count += !item.done && item.runs.empty() && !item.may_have_unknown_run ? 1 : 0;
    }
    return count;
}

run& job_state::add_run(const task_id& id, run item) {
    task_state& state = task(id);
    if (state.runs.empty() && !state.done) {
        --counts({id.occurrence, id.step}).idle;
        --m_idle_tasks;
    }
    state.attempts = std::max(state.attempts, item.attempt);
    ++m_runs;
    state.runs.push_back(std::move(item));
    return state.runs.back();
}

run job_state::remove_run(const task_id& id, std::uint32_t attempt, const std::string& vm, timestamp now) {
    task_state& state = task(id);
    const auto found = std::ranges::find_if(
        state.runs, [&](const run& item) { return item.attempt == attempt && item.vm == vm; });
    assert(found != state.runs.end());
    run removed = std::move(*found);
    state.runs.erase(found);
    --m_runs;
    if (state.runs.empty() && !state.done) {
        ++counts({id.occurrence, id.step}).idle;
        ++m_idle_tasks;
        state.idle_since = now;
    }
    return removed;
}

void job_state::mark_done(const task_id& id) {
    task_state& state = task(id);
    if (state.done) {
        return;
    }
    state.done = true;
    state.may_have_unknown_run = false;
    step_counts& of_step = counts({id.occurrence, id.step});
    --of_step.unfinished;
    --m_unfinished_tasks;
    if (state.runs.empty()) {
        --of_step.idle;
        --m_idle_tasks;
    }
}

job_progress job_state::progress() const {
    job_progress result;
    result.phase = m_phase;
    result.account = m_account;
    result.done.reserve(m_tasks.size());
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        const task_state& item = m_tasks[i];
        const auto number = static_cast<std::uint32_t>(i);
        result.done += item.done ? done_mark : pending_mark;
        if (item.done) {
            continue;
        }
        if (!item.failed_attempts.empty()) {
            result.failed_attempts[number] = item.failed_attempts;
        }
        if (!item.checkpoint.empty()) {
            result.checkpoints[number] = item.checkpoint;
        }
        if (!item.crashes.empty()) {
            result.crashes[number] = item.crashes;
        }
    }
    return result;
}

void job_state::restore(const job_progress& progress) {
    m_phase = progress.phase;
    m_may_have_unknown_runs = true;
    for_each_step([&](step_position position) {
        for (std::uint32_t index = 0; index < m_spec.steps[position.step].count; ++index) {
            restore_task(id_of(position, index), progress);
        }
    });
}

void job_state::restore_task(const task_id& id, const job_progress& progress) {
    const std::size_t at = task_index(id);
    const auto number = static_cast<std::uint32_t>(at);
    task_state& item = m_tasks[at];
    item.may_have_unknown_run = true;
    if (const auto failed = progress.failed_attempts.find(number); failed != progress.failed_attempts.end()) {
        item.failed_attempts = failed->second;
    }
    if (const auto saved = progress.checkpoints.find(number); saved != progress.checkpoints.end()) {
        item.checkpoint = saved->second;
    }
    if (const auto ended = progress.crashes.find(number); ended != progress.crashes.end()) {
        item.crashes = ended->second;
    }
    if (at < progress.done.size() && progress.done[at] == done_mark) {
        mark_done(id);
        m_begun = true;
    }
}

void job_state::clear_unknown_runs() {
    m_may_have_unknown_runs = false;
    for (task_state& item : m_tasks) {
        item.may_have_unknown_run = false;
    }
}

} // namespace siskinpaddle::jobs
