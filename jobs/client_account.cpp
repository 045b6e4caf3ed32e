#include "jobs/client_account.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

bool equals_in_constant_time(const key_digest& a, const key_digest& b) {
    std::uint8_t difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference = static_cast<std::uint8_t>(difference | (a.at(i) ^ b.at(i)));
    }
    return difference == 0;
}

} // namespace

void client_accounts::add(client_account account, const std::vector<key_digest>& keys) {
    for (const key_digest& key : keys) {
        m_keys.push_back({key, m_accounts.size()});
    }
    m_accounts.push_back(std::move(account));
}

const client_account* client_accounts::find(std::string_view name) const {
    const auto found = std::ranges::find(m_accounts, name, &client_account::name);
    return found == m_accounts.end() ? nullptr : &*found;
}

const client_account* client_accounts::find_by_key(const key_digest& key) const {
    const client_account* found = nullptr;
    for (const key_entry& entry : m_keys) {
        if (equals_in_constant_time(entry.digest, key)) {
            found = &m_accounts[entry.account];
        }
    }
    return found;
}

} // namespace siskinpaddle::jobs
