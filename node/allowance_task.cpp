#include "node/allowance_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

namespace siskinpaddle::node {

namespace {

/// Transaction entries for one account: a condition and a write.
constexpr std::size_t entries_per_account = 2;
/// Most accounts in one transaction, besides its condition on the owner.
constexpr std::size_t max_accounts_per_write = (platform::max_transaction_entries - 1) / entries_per_account;
/// Interval between readings while tasks wait for other pools to lower their allowances.
constexpr milliseconds refresh_interval = 200ms;
constexpr milliseconds read_retry = 150ms;

jobs::account_allowances decode_allowances(const std::string& key, const std::string& value) {
    const auto decoded = decode_archive<jobs::account_allowances>(value);
    if (!decoded) {
        log_event(event_id::run_noted, {{"what", "allowances-damaged"}, {"key", key}});
        return {};
    }
    return decoded.value();
}

} // namespace

allowance_task::allowance_task(event_loop& loop, platform::store_client& store, std::string pool,
                               handlers on_event)
    : m_store(store), m_pool(std::move(pool)), m_handlers(std::move(on_event)),
      m_allowances(m_pool, m_policy), m_retry_timer(loop.make_timer([this] { read_page(m_retry_after); })) {}

void allowance_task::load(std::function<void()> done) {
    m_on_loaded = std::move(done);
    m_reading = true;
    read_page({});
}

void allowance_task::read_page(const std::string& after) {
    m_store.range(account_prefix, after,
                  [this, after, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
                      if (!alive.expired()) {
                          apply_page(answer, after);
                      }
                  });
}

void allowance_task::apply_page(const platform::store_answer& answer, const std::string& after) {
    if (answer.status != platform::store_status::ok) {
        m_retry_after = after;
        m_retry_timer->start(read_retry);
        return;
    }
    for (const platform::store_item& item : answer.items) {
        m_allowances.load(item.key.substr(account_prefix.size()), decode_allowances(item.key, item.value),
                          item.revision);
    }
    if (answer.has_more && !answer.items.empty()) {
        read_page(answer.items.back().key);
        return;
    }
    m_reading = false;
    if (m_on_loaded) {
        m_allowances.set_loaded();
        std::exchange(m_on_loaded, {})();
    }
    m_handlers.changed();
}

void allowance_task::configure(const jobs::fleet_configuration& configuration, std::size_t pools) {
    m_allowances.configure(configuration.accounts.all(), configuration.version, pools);
}

void allowance_task::update(const std::map<std::string, jobs::account_demand>& demand, timestamp now) {
    while (true) {
        const std::vector<jobs::allowance_write> writes =
            m_allowances.plan(demand, max_accounts_per_write, now);
        if (writes.empty()) {
            break;
        }
        write(writes);
    }
    refresh_if_limited(now);
}

void allowance_task::refresh_if_limited(timestamp now) {
    if (m_reading || now - m_refreshed_at < refresh_interval || m_allowances.limited_accounts().empty()) {
        return;
    }
    m_refreshed_at = now;
    m_reading = true;
    read_page({});
}

void allowance_task::write(const std::vector<jobs::allowance_write>& writes) {
    const platform::store_condition owner = m_handlers.owner_condition();
    platform::store_transaction change;
    change.conditions.push_back(owner);
    for (const jobs::allowance_write& item : writes) {
        change.conditions.push_back({account_key(item.account), item.revision});
        change.writes.push_back({account_key(item.account), encode_archive(item.wanted), 0});
    }
    m_store.commit(change, [this, writes, token = owner.revision,
                            alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            on_written(writes, token, answer);
        }
    });
}

void allowance_task::log_stored(const jobs::allowance_write& item) const {
    const jobs::resources allowance = item.wanted.of_pool(m_pool);
    const jobs::resources total = item.wanted.total();
    log_event(event_id::allowance_stored, {{"pool", m_pool},
                                           {"account", item.account},
                                           {"cpu", allowance.cpu_millicores},
                                           {"cpu_of_all_pools", total.cpu_millicores},
                                           {"cpu_limit", item.wanted.limit.cpu_millicores},
                                           {"memory_mb", allowance.memory_mb},
                                           {"memory_mb_of_all_pools", total.memory_mb},
                                           {"memory_mb_limit", item.wanted.limit.memory_mb}});
}

void allowance_task::on_written(const std::vector<jobs::allowance_write>& writes, std::int64_t token,
                                const platform::store_answer& answer) {
    for (const jobs::allowance_write& item : writes) {
        const std::string key = account_key(item.account);
        const auto found = std::ranges::find(answer.items, key, &platform::store_item::key);
        switch (answer.status) {
        case platform::store_status::ok:
            m_allowances.write_succeeded(item.account, answer.revision);
            log_stored(item);
            break;
        case platform::store_status::conflict:
            m_allowances.write_conflicted(item.account,
                                          found == answer.items.end() ? jobs::account_allowances{}
                                                                      : decode_allowances(key, found->value),
                                          found == answer.items.end() ? 0 : found->revision);
            break;
        case platform::store_status::unknown:
            m_allowances.write_unanswered(item.account);
            break;
        default:
            m_allowances.write_refused(item.account);
            break;
        }
    }
    const std::string owner_key = owner_prefix + pool_duty(m_pool);
    if (answer.status == platform::store_status::conflict && revision_of(answer, owner_key) != token) {
        m_handlers.ownership_lost(token);
    }
    m_handlers.changed();
}

} // namespace siskinpaddle::node
