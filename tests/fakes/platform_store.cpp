#include "fakes/platform_store.hpp"

#include "platform/store_client.hpp"
#include "platform/wire.hpp"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <openssl/evp.h>

namespace siskinpaddle::fakes {

namespace wire = platform::wire;

namespace {

constexpr milliseconds tick_interval = 20ms;
/// Longer than a caller's timeout, after which the caller sends the call again.
constexpr milliseconds late_write_delay = 3s;

std::string uri_decode(const std::string& text) {
    size_t size = 0;
    char* plain = evhttp_uridecode(text.c_str(), 0, &size);
    std::string result(plain, size);
    std::free(plain); // NOLINT: libevent allocates it with malloc
    return result;
}

std::string get_parameter(const server_request& request, std::string_view name) {
    return uri_decode(query_parameter(request.target(), name));
}

std::string base64_encode(const std::string& bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

/// Number of entries that count towards the store's limit on a transaction.
std::size_t count_entries(const boost::json::object& transaction) {
    std::size_t entries = 0;
    for (const std::string_view list : {wire::conditions, wire::writes, wire::removals}) {
        entries += transaction.at(list).as_array().size();
    }
    return entries;
}

std::int64_t number(const boost::json::object& object, std::string_view key) {
    const boost::json::value* found = object.if_contains(key);
    return found == nullptr ? 0 : found->to_number<std::int64_t>();
}

} // namespace

platform_store::platform_store(event_loop& loop)
    : m_loop(loop), m_server(loop, {}, [this](const request_handle& request) { handle_request(request); }),
      m_timer(loop.make_timer([this] { tick(); })) {
    m_timer->start(tick_interval);
}

void platform_store::reply(const request_handle& request, int code, const boost::json::object& body) {
    http_headers headers;
    headers.add("Content-Type", "application/json");
    request->reply(code, headers, boost::json::serialize(body));
}

std::uint16_t platform_store::open_second_port() {
    m_second_server =
        std::make_unique<http_server>(m_loop, http_server_limits{}, [this](const request_handle& request) {
            if (m_second_port_busy) {
                reply(request, 503, {});
            } else {
                handle_request(request);
            }
        });
    return m_second_server->listen({"127.0.0.1", 0}) ? m_second_server->port() : 0;
}

std::size_t platform_store::call_count(const std::string& path) const {
    const auto found = m_calls.find(path);
    return found == m_calls.end() ? 0 : found->second;
}

void platform_store::set_silent(bool silent) {
    m_silent = silent;
    if (!silent) {
        m_unanswered.clear();
    }
}

void platform_store::handle_request(const request_handle& request) {
    const std::string path(path_of_target(request->target()));
    ++m_calls[path];
    if (m_silent) {
        m_unanswered.push_back(request);
    } else if (m_busy) {
        reply(request, 503, {});
    } else if (path == wire::get_path) {
        get(request);
    } else if (path == wire::range_path) {
        range(request);
    } else if (path == wire::watch_path) {
        watch(request);
    } else if (path == wire::commit_path) {
        transact(request);
    } else {
        lease(request);
    }
}

void platform_store::get(const request_handle& request) {
    const std::string key = get_parameter(*request, wire::key);
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        reply(request, 404, {{wire::store_revision, m_revision}});
        return;
    }
    reply(request, 200,
          {{wire::key, key},
           {wire::value, found->second.value},
           {wire::revision, found->second.revision},
           {wire::lease, found->second.lease},
           {wire::store_revision, m_revision}});
}

void platform_store::range(const request_handle& request) {
    constexpr std::size_t page_size = 50; // Small, so that tests with few items need several pages.
    const std::string prefix = get_parameter(*request, wire::prefix);
    const std::string after = get_parameter(*request, wire::after);
    boost::json::array items;
    bool more = false;
    for (const auto& [key, value] : m_items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (items.size() == page_size) {
            more = true;
            break;
        }
        items.push_back(boost::json::object{{wire::key, key},
                                            {wire::value, value.value},
                                            {wire::revision, value.revision},
                                            {wire::lease, value.lease}});
    }
    reply(request, 200,
          {{wire::items, std::move(items)}, {wire::has_more, more}, {wire::store_revision, m_revision}});
}

boost::json::array platform_store::events_for(const pending_watch& watch) const {
    boost::json::array events;
    for (const event& item : m_events) {
        if (item.revision <= watch.after || !item.key.starts_with(watch.prefix)) {
            continue;
        }
        boost::json::object json_event{{wire::key, item.key}, {wire::revision, item.revision}};
        if (item.deleted) {
            json_event[wire::deleted] = true;
        } else {
            json_event[wire::value] = item.value;
            json_event[wire::lease] = item.lease;
        }
        events.push_back(std::move(json_event));
    }
    return events;
}

void platform_store::watch(const request_handle& request) {
    pending_watch item;
    item.request = request;
    item.prefix = get_parameter(*request, wire::prefix);
    item.after = std::strtoll(get_parameter(*request, wire::after).c_str(), nullptr, 10);
    item.until = event_loop::now() +
                 milliseconds(std::strtoll(get_parameter(*request, wire::wait).c_str(), nullptr, 10));
    if (item.after < m_compacted_revision) {
        reply(request, 410, {});
        return;
    }
    m_watches.push_back(std::move(item));
    answer_watches();
}

bool platform_store::has_held_event(const boost::json::array& events) const {
    return !m_held_events.empty() && std::ranges::any_of(events, [this](const boost::json::value& event) {
        return std::string_view(event.at(wire::key).as_string()).starts_with(m_held_events);
    });
}

void platform_store::answer_watches() {
    for (auto item = m_watches.begin(); item != m_watches.end();) {
        if (!m_held_watches.empty() && item->prefix.starts_with(m_held_watches)) {
            ++item;
            continue;
        }
        boost::json::array events = events_for(*item);
        if ((events.empty() && event_loop::now() < item->until) || has_held_event(events)) {
            ++item;
            continue;
        }
        reply(item->request, 200, {{wire::events, std::move(events)}, {wire::store_revision, m_revision}});
        item = m_watches.erase(item);
    }
}

void platform_store::apply(const std::string& key, const item* value) {
    if (value == nullptr) {
        m_items.erase(key);
        m_events.push_back({key, m_revision, true, {}, 0});
    } else {
        m_items[key] = *value;
        m_events.push_back({key, m_revision, false, value->value, value->lease});
    }
    if (m_on_change) {
        m_on_change(key);
    }
}

void platform_store::put(const std::string& key, const std::string& value, std::int64_t lease) {
    ++m_revision;
    const item written{base64_encode(value), m_revision, lease};
    apply(key, &written);
    answer_watches();
}

void platform_store::remove(const std::string& key) {
    ++m_revision;
    apply(key, nullptr);
    answer_watches();
}

std::size_t platform_store::count(const std::string& prefix) const {
    std::size_t found = 0;
    for (const auto& [key, value] : m_items) {
        found += key.starts_with(prefix) ? 1 : 0;
    }
    return found;
}

std::int64_t platform_store::revision_of(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? 0 : found->second.revision;
}

bool platform_store::has_value(const std::string& key, const std::string& value) const {
    const auto found = m_items.find(key);
    return found != m_items.end() && found->second.value == base64_encode(value);
}

void platform_store::transact(const request_handle& request) {
    const boost::json::object body = boost::json::parse(request->body()).as_object();
    if (count_entries(body) > platform::max_transaction_entries) {
        reply(request, 400, {});
        return;
    }
    if (m_late_writes > 0) {
        --m_late_writes;
        m_unanswered.push_back(request); // Kept open without an answer.
        m_late_transactions.push_back({body, event_loop::now() + late_write_delay});
        return;
    }
    if (is_write_held(body)) {
        m_held_writes.push_back(request);
        return;
    }
    if (!conditions_hold(body)) {
        ++m_conflicts;
        reply(request, 412, {{wire::items, present_items(body)}});
        return;
    }
    for (const boost::json::value& row : body.at(wire::writes).as_array()) {
        const std::int64_t lease = number(row.as_object(), wire::lease);
        if (lease != 0 && !m_leases.contains(lease)) {
            reply(request, 404, {});
            return;
        }
    }
    apply_transaction(body);
    if (m_lost_answers > 0) {
        --m_lost_answers;
        m_unanswered.push_back(request);
    } else {
        reply(request, 200, {{wire::revision, m_revision}});
    }
    answer_watches();
}

bool platform_store::conditions_hold(const boost::json::object& body) const {
    for (const boost::json::value& row : body.at(wire::conditions).as_array()) {
        const auto found = m_items.find(row.at(wire::key).as_string());
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != number(row.as_object(), wire::revision)) {
            return false;
        }
    }
    return true;
}

bool platform_store::is_write_held(const boost::json::object& body) const {
    if (m_held_write_prefix.empty()) {
        return false;
    }
    const auto matches = [this](const boost::json::string& key) {
        return std::string_view(key).starts_with(m_held_write_prefix);
    };
    return std::ranges::any_of(body.at(wire::writes).as_array(),
                               [&](const auto& row) { return matches(row.at(wire::key).as_string()); }) ||
           std::ranges::any_of(body.at(wire::removals).as_array(),
                               [&](const auto& key) { return matches(key.as_string()); });
}

void platform_store::hold_writes(const std::string& prefix) {
    m_held_write_prefix = prefix;
    if (!prefix.empty()) {
        return;
    }
    for (const request_handle& request : std::exchange(m_held_writes, {})) {
        transact(request);
    }
}

boost::json::array platform_store::present_items(const boost::json::object& body) const {
    boost::json::array items;
    for (const boost::json::value& row : body.at(wire::conditions).as_array()) {
        const std::string key(row.at(wire::key).as_string());
        if (const auto found = m_items.find(key); found != m_items.end()) {
            items.push_back(boost::json::object{{wire::key, key},
                                                {wire::value, found->second.value},
                                                {wire::revision, found->second.revision},
                                                {wire::lease, found->second.lease}});
        }
    }
    return items;
}

void platform_store::apply_transaction(const boost::json::object& body) {
    ++m_revision;
    for (const boost::json::value& row : body.at(wire::writes).as_array()) {
        const item written{std::string(row.at(wire::value).as_string()), m_revision,
                           number(row.as_object(), wire::lease)};
        apply(std::string(row.at(wire::key).as_string()), &written);
    }
    for (const boost::json::value& key : body.at(wire::removals).as_array()) {
        apply(std::string(key.as_string()), nullptr);
    }
}

void platform_store::lease(const request_handle& request) {
    const std::string path(path_of_target(request->target()));
    const std::int64_t id = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (path == wire::grant_lease_path) {
        const milliseconds ttl(number(boost::json::parse(request->body()).as_object(), wire::lease_ttl));
        const std::int64_t granted = m_next_lease++;
        m_leases[granted] = {event_loop::now() + ttl, ttl};
        reply(request, 200, {{wire::lease, granted}, {wire::lease_ttl, ttl.count()}});
    } else if (!m_leases.contains(id)) {
        reply(request, 404, {});
    } else if (path.starts_with(wire::renew_lease_path)) {
        m_leases[id].first = event_loop::now() + m_leases[id].second;
        reply(request, 200, {{wire::lease_ttl, m_leases[id].second.count()}});
    } else {
        m_leases[id].first = timestamp(0);
        tick();
        reply(request, 200, {});
    }
}

void platform_store::expire_leases() {
    for (auto& [id, until] : m_leases) {
        until.first = timestamp(0);
    }
    tick();
}

void platform_store::tick() {
    m_timer->start(tick_interval);
    const timestamp now = event_loop::now();
    while (!m_late_transactions.empty() && m_late_transactions.front().second <= now) {
        const boost::json::object body = std::move(m_late_transactions.front().first);
        m_late_transactions.pop_front();
        if (conditions_hold(body)) {
            apply_transaction(body);
        }
    }
    std::vector<std::string> expired_keys;
    for (const auto& [key, value] : m_items) {
        const auto lease = m_leases.find(value.lease);
        if (lease != m_leases.end() && lease->second.first <= now) {
            expired_keys.push_back(key);
        }
    }
    std::erase_if(m_leases, [&](const auto& item) { return item.second.first <= now; });
    for (const std::string& key : expired_keys) {
        ++m_revision;
        apply(key, nullptr);
    }
    if (!m_silent) {
        answer_watches();
    }
}

} // namespace siskinpaddle::fakes
