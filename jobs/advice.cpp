#include "jobs/advice.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// A refused VM stays refused: the step's policy does not change. Asked again only in case the VM is another
/// one.
constexpr milliseconds refusal_memory = 60s;
/// A ticket is not used in its last moments: the start must reach the VM while it is valid.
constexpr milliseconds ticket_margin = 300ms;
/// An answer that has not come by then beyond its expected time won't come.
constexpr milliseconds answer_patience = 1500ms;
constexpr std::size_t least_asked = 4;
constexpr std::size_t most_asked = 30;

} // namespace

std::size_t vms_to_ask(std::size_t idle_tasks) {
    return std::clamp(2 * idle_tasks, least_asked, most_asked);
}

const std::string* step_advice::ticket(const std::string& vm, timestamp now) const {
    const auto found = m_verdicts.find(vm);
    if (found == m_verdicts.end() || found->second.ticket.empty() || now >= found->second.until) {
        return nullptr;
    }
    return &found->second.ticket;
}

bool step_advice::is_open(const std::string& vm, timestamp now) const {
    const auto found = m_verdicts.find(vm);
    return found == m_verdicts.end() || now >= found->second.until;
}

void step_advice::asked(const advice_request& request, timestamp now) {
    m_pending_until = now + request.expected + answer_patience;
}

void step_advice::answered(const advice_request& request, const advice_answer& answer, timestamp now) {
    m_pending_until = timestamp(0);
    if (!answer.good) {
        return;
    }
    for (const std::string& vm : request.vms) {
        const auto approved = answer.tickets.find(vm);
        if (approved == answer.tickets.end()) {
            m_verdicts[vm] = {{}, now + refusal_memory};
        } else {
            m_verdicts[vm] = {approved->second, now + answer.valid - ticket_margin};
        }
    }
}

} // namespace siskinpaddle::jobs
