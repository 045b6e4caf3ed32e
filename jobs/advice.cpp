#include "jobs/advice.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// How long a refusal is cached. The step's policy does not change; the VM is queried again only in case it
/// has been replaced by another one.
constexpr milliseconds refusal_cache_duration = 60s;
/// A ticket is treated as expired this long before it does: the start order must reach the VM while the
/// ticket is valid.
constexpr milliseconds ticket_margin = 300ms;
/// A query without an answer this long after its expected duration counts as lost.
constexpr milliseconds answer_timeout = 1500ms;
constexpr std::size_t min_queried_vms = 4;
constexpr std::size_t max_queried_vms = 30;

} // namespace

std::size_t vms_per_query(std::size_t idle_tasks) {
    return std::clamp(2 * idle_tasks, min_queried_vms, max_queried_vms);
}

const std::string* step_advice::find_ticket(const std::string& vm, timestamp now) const {
    const auto found = m_verdicts.find(vm);
    if (found == m_verdicts.end() || found->second.ticket.empty() || now >= found->second.expires_at) {
        return nullptr;
    }
    return &found->second.ticket;
}

bool step_advice::needs_query(const std::string& vm, timestamp now) const {
    const auto found = m_verdicts.find(vm);
    return found == m_verdicts.end() || now >= found->second.expires_at;
}

void step_advice::record_request(const advice_request& request, timestamp now) {
    m_pending_until = now + request.expected_duration + answer_timeout;
}

void step_advice::record_answer(const advice_request& request, const advice_answer& answer, timestamp now) {
    m_pending_until = timestamp(0);
    if (!answer.succeeded) {
        return;
    }
    for (const std::string& vm : request.vms) {
        const auto approved = answer.tickets.find(vm);
        if (approved == answer.tickets.end()) {
            m_verdicts[vm] = {{}, now + refusal_cache_duration};
        } else {
            m_verdicts[vm] = {approved->second, now + answer.ticket_validity - ticket_margin};
        }
    }
}

} // namespace siskinpaddle::jobs
