#include "jobs/vm_tokens.hpp"

#include "jobs/vm.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

std::int64_t vm_tokens::token_for(const std::string& incarnation, std::int64_t owner_token,
                                  std::optional<std::int64_t> recorded_at) {
    id_tokens& tokens = m_ids[std::string(vm_id_of(incarnation))];
    std::int64_t token = std::max(owner_token, recorded_at.value_or(tokens.highest));
    if (const auto raised = tokens.raised.find(incarnation); raised != tokens.raised.end()) {
        token = std::max(token, raised->second);
    }
    tokens.highest = std::max(tokens.highest, token);
    return token;
}

bool vm_tokens::handle_refusal(const std::string& incarnation, std::int64_t token) {
    const auto found = m_ids.find(vm_id_of(incarnation));
    if (found == m_ids.end()) {
        return token >= m_highest_forgotten;
    }
    if (token >= std::max(found->second.highest, m_highest_forgotten)) {
        return true;
    }
    found->second.raised[incarnation] = found->second.highest;
    return false;
}

void vm_tokens::forget(std::string_view id) {
    if (const auto found = m_ids.find(id); found != m_ids.end()) {
        m_highest_forgotten = std::max(m_highest_forgotten, found->second.highest);
        m_ids.erase(found);
    }
}

} // namespace siskinpaddle::jobs
