#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// How long one lease is used for new announcements; a lease per round would double the calls to the store.
constexpr milliseconds announcement_lease_reuse = 1s;
/// Longest expected time from the announcement to the order's arrival at the platform.
constexpr milliseconds announcement_margin = 500ms;

} // namespace

void fleet_task::send_orders() {
    if (m_planned.empty()) {
        return;
    }
    std::vector<std::string> machines;
    for (const planned_order& order : m_planned) {
        machines.push_back(order.machine);
    }
    announce_orders(machines, [this, orders = std::exchange(m_planned, {})](bool announced) {
        for (const planned_order& order : orders) {
            announced&& may_order() ? order.send() : order.cancel();
        }
    });
}

/// Writes the announcement under a separate lease, so that it expires after `min_order_interval` even if this
/// node has died.
void fleet_task::announce_orders(const std::vector<std::string>& machines, std::function<void(bool)> done) {
    if (event_loop::now() - m_announcement_granted_at < announcement_lease_reuse) {
        write_announcement(machines, done);
        return;
    }
    const timestamp requested_at = event_loop::now();
    m_context.store.grant_lease(m_context.settings.min_order_interval + announcement_lease_reuse +
                                    announcement_margin,
                                [this, machines, requested_at, done = std::move(done),
                                 alive = m_lifetime.weak_token()](const platform::lease_answer& answer) {
                                    if (alive.expired()) {
                                        return;
                                    }
                                    if (answer.status != platform::store_status::ok) {
                                        done(false);
                                        return;
                                    }
                                    m_announcement_lease = answer.lease;
                                    m_announcement_granted_at = requested_at;
                                    write_announcement(machines, done);
                                });
}

void fleet_task::write_announcement(const std::vector<std::string>& machines,
                                    const std::function<void(bool)>& done) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_ownership.duty, m_ownership.token});
    const std::string key = announcement_prefix + std::to_string(m_ownership.token) + "-" +
                            std::to_string(m_announcement_count++);
    change.writes.push_back({key, encode_archive(machines), m_announcement_lease});
    m_context.store.commit(change,
                           [done, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
                               if (!alive.expired()) {
                                   done(answer.status == platform::store_status::ok);
                               }
                           });
}

void fleet_task::read_announcements() {
    m_context.store.range(
        announcement_prefix, {},
        [this, alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
            if (alive.expired() || answer.status != platform::store_status::ok) {
                return;
            }
            m_recently_ordered.clear();
            const std::string own = announcement_prefix + std::to_string(m_ownership.token) + "-";
            for (const platform::store_item& item : answer.items) {
                const auto machines = decode_archive<std::vector<std::string>>(item.value);
                if (machines && !item.key.starts_with(own)) {
                    m_recently_ordered.insert(machines.value().begin(), machines.value().end());
                }
            }
            m_recently_ordered_known = true;
        });
}

} // namespace siskinpaddle::node
