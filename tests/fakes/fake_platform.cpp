#include "fakes/fake_platform.hpp"

#include <algorithm>

namespace siskinpaddle::fakes {

namespace {

constexpr milliseconds tick_interval = 20ms;
constexpr milliseconds vm_silence = 700ms;

std::uint64_t to_number(std::string_view text) {
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

http_server_limits limits() {
    http_server_limits result;
    result.max_body = 4U << 20U;
    result.idle_timeout = 120s;
    return result;
}

} // namespace

fake_platform::fake_platform(event_loop& loop, milliseconds list_lag)
    : m_loop(loop), m_list_lag(list_lag),
      m_server(loop, limits(), [this](const request_ptr& from) { receive(from); }),
      m_timer(loop.make_timer([this] { tick(); })) {
    tick();
}

void fake_platform::set_trouble(const std::string& caller, trouble kind, milliseconds delay,
                                int next_writes) {
    m_troubles[caller] = {kind, delay, next_writes};
    if (kind != trouble::cut && kind != trouble::down) {
        return;
    }
    // A watch that waits already would otherwise still bring its news through the cut.
    for (auto watch = m_watchers.begin(); watch != m_watchers.end();) {
        if (caller.empty() || watch->from->headers().get("Caller") == caller) {
            m_unanswered.push_back(watch->from);
            watch = m_watchers.erase(watch);
        } else {
            ++watch;
        }
    }
}

std::string fake_platform::value(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : found->second.bytes;
}

void fake_platform::put(const std::string& key, std::string bytes) {
    m_items[key] = {++m_version, std::move(bytes), timestamp{0}};
    notify(key);
}

void fake_platform::add_static_vms(int count, const endpoint& target) {
    for (int i = 0; i < count; ++i) {
        vm item;
        item.shown.id = "w" + std::to_string(10'000 + i);
        item.shown.availability_zone = std::string(1, static_cast<char>('a' + i / 4 % 4));
        item.shown.rack = "r" + std::to_string(10'000 + i / 4);
        item.shown.address = target.address;
        item.shown.port = target.port;
        item.shown.agent_port = target.port;
        item.shown.cores = 32;
        item.shown.memory_mb = 64'000;
        item.shown.boot_count = 1;
        item.alive_until = timestamp::max() / 2;
        item.is_static = true;
        m_vms[item.shown.id] = item;
    }
}

caller_usage& fake_platform::usage_of(const server_request& from) {
    return m_usage[std::string(from.headers().get("Caller"))];
}

void fake_platform::reply(const request_ptr& from, int code, std::string_view body, std::uint64_t version) {
    usage_of(*from).bytes += body.size();
    http_headers headers;
    if (version > 0) {
        headers.add("Version", std::to_string(version));
    }
    from->reply(code, headers, body);
}

void fake_platform::receive(const request_ptr& from) {
    if (path_of_target(from->target()) == "/control") {
        handle_control(from);
        return;
    }
    caller_usage& usage = usage_of(*from);
    usage.bytes += from->body().size();
    if (from->target().find("after=") != std::string::npos) {
        ++usage.watches;
    } else {
        ++(from->method() == "GET" ? usage.reads : usage.writes);
    }
    if (!troubled(from)) {
        handle(from);
    }
}

bool fake_platform::troubled(const request_ptr& from) {
    const std::string caller(from->headers().get("Caller"));
    // The VMs' own polls belong to the stand-in, not to what the system under test sees.
    if (from->target().starts_with("/vm/")) {
        return false;
    }
    trouble_state& state = m_troubles.contains(caller) ? m_troubles[caller] : m_troubles[""];
    const bool write = from->method() != "GET";
    if (state.kind == trouble::none || (state.writes_left >= 0 && !write)) {
        return false;
    }
    if (state.writes_left == 0) {
        state = {};
        return false;
    }
    state.writes_left -= state.writes_left > 0 ? 1 : 0;
    switch (state.kind) {
    case trouble::none:
        return false;
    case trouble::down:
        reply(from, 503);
        return true;
    case trouble::cut:
        m_unanswered.push_back(from);
        return true;
    case trouble::slow:
        m_delays.push_back(m_loop.make_timer([this, from] { handle(from); }));
        m_delays.back()->start(state.delay);
        return true;
    case trouble::lose_answer:
        if (write) {
            // The real handler runs on the caller's request; its answer then goes nowhere.
            m_unanswered.push_back(from);
            handle_put(nullptr, std::string(path_of_target(from->target())).substr(4));
            return true;
        }
        return false;
    }
    return false;
}

void fake_platform::handle(const request_ptr& from) {
    const std::string path(path_of_target(from->target()));
    if (path.starts_with("/kv/")) {
        from->method() == "GET" ? handle_kv(from, path.substr(4)) : handle_put(from, path.substr(4));
    } else if (path.starts_with("/leases/")) {
        handle_lease(from, path.substr(8));
    } else if (path == "/vms") {
        handle_vms(from);
    } else if (path.starts_with("/vms/") && path.ends_with("/reboot")) {
        handle_reboot(from, path.substr(5, path.size() - 5 - 7));
    } else if (path.starts_with("/vm/")) {
        handle_vm_poll(from, path.substr(4));
    } else {
        reply(from, 404);
    }
}

void fake_platform::handle_kv(const request_ptr& from, const std::string& key) {
    const auto found = m_items.find(key);
    const std::string after = query_parameter(from->target(), "after");
    if (!after.empty()) {
        const std::uint64_t seen = to_number(after);
        if (found == m_items.end() || found->second.version <= seen) {
            const milliseconds wait(to_number(query_parameter(from->target(), "wait_ms")));
            m_watchers.push_back({from, key, seen, event_loop::now() + wait});
            return;
        }
    }
    if (found == m_items.end()) {
        reply(from, 404);
        return;
    }
    reply(from, 200, found->second.bytes, found->second.version);
}

void fake_platform::handle_put(const request_ptr& from, const std::string& key) {
    // Without a request it is the last unanswered one: applied, its answer lost.
    const server_request& call = from ? *from : *m_unanswered.back();
    const auto found = m_items.find(key);
    const std::uint64_t current = found == m_items.end() ? 0 : found->second.version;
    if (current != to_number(call.headers().get("If-Version"))) {
        if (from) {
            reply(from, 409, {}, current);
        }
        return;
    }
    const milliseconds ttl(to_number(call.headers().get("Ttl-Ms")));
    const timestamp expires = ttl > milliseconds{0} ? event_loop::now() + ttl : timestamp{0};
    m_items[key] = {++m_version, call.body(), expires};
    if (from) {
        reply(from, 200, {}, m_version);
    }
    notify(key);
}

void fake_platform::notify(const std::string& key) {
    const auto& current = m_items[key];
    for (auto watch = m_watchers.begin(); watch != m_watchers.end();) {
        if (watch->key == key && current.version > watch->after) {
            reply(watch->from, 200, current.bytes, current.version);
            watch = m_watchers.erase(watch);
        } else {
            ++watch;
        }
    }
}

void fake_platform::handle_lease(const request_ptr& from, const std::string& name) {
    const timestamp now = event_loop::now();
    lease& held = m_leases[name];
    if (from->method() == "DELETE") {
        if (held.holder == query_parameter(from->target(), "holder")) {
            held.until = timestamp{0};
        }
        reply(from, 200);
        return;
    }
    findings problems;
    const boost::json::value body = parse_json(from->body(), "", problems);
    json_object object(body, "", problems);
    const std::string holder = object.text("holder");
    const milliseconds ttl(object.number("ttl_ms", {1, 3'600'000}));
    const bool free = held.until <= now;
    if (free || held.holder == holder) {
        held.term += free && held.holder != holder ? 1 : 0;
        held.holder = holder;
        held.until = now + ttl;
    }
    reply(from, held.holder == holder ? 200 : 409,
          boost::json::serialize(boost::json::object{{"holder", held.holder}, {"term", held.term}}));
}

void fake_platform::handle_vms(const request_ptr& from) {
    const timestamp now = event_loop::now();
    boost::json::array list;
    for (const auto& [id, item] : m_vms) {
        // Both coming and going show only after the lag.
        if (now < item.listed_from || now > item.alive_until + m_list_lag) {
            continue;
        }
        list.push_back({{"id", id},
                        {"availability_zone", item.shown.availability_zone},
                        {"rack", item.shown.rack},
                        {"address", item.shown.address},
                        {"port", item.shown.port},
                        {"agent_port", item.shown.agent_port},
                        {"cores", item.shown.cores},
                        {"memory_mb", item.shown.memory_mb},
                        {"accelerators", item.shown.accelerators},
                        {"boot", item.shown.boot_count},
                        {"state", name_of(item.shown.state)}});
    }
    const std::string text = boost::json::serialize(list);
    const std::string tag = to_hex(hash64(text));
    if (from->headers().get("If-None-Match") == tag) {
        reply(from, 304);
        return;
    }
    usage_of(*from).bytes += text.size();
    http_headers headers;
    headers.add("ETag", tag);
    from->reply(200, headers, text);
}

void fake_platform::handle_reboot(const request_ptr& from, const std::string& id) {
    findings problems;
    const boost::json::value body = parse_json(from->body(), "", problems);
    json_object object(body, "", problems);
    const std::string operation = object.text("operation");
    const auto found = m_vms.find(id);
    if (found == m_vms.end()) {
        reply(from, 404);
        return;
    }
    if (found->second.is_static && operation != found->second.done_operation) {
        found->second.done_operation = operation;
        ++found->second.shown.boot_count;
    } else if (operation != found->second.done_operation) {
        found->second.order_operation = operation;
        found->second.order_pool = object.text("pool");
    }
    reply(from, 200);
}

/// A VM reports itself and learns whether it shall reboot, and for which pool.
void fake_platform::handle_vm_poll(const request_ptr& from, const std::string& id) {
    const timestamp now = event_loop::now();
    findings problems;
    const boost::json::value body = parse_json(from->body(), "", problems);
    json_object object(body, "", problems);
    const bool fresh = !m_vms.contains(id);
    vm& item = m_vms[id];
    if (fresh || now > item.alive_until + m_list_lag) {
        item.listed_from = fresh ? now : now + m_list_lag;
    }
    item.alive_until = now + vm_silence;
    item.shown.availability_zone = object.text("availability_zone");
    item.shown.rack = object.text("rack");
    item.shown.address = object.text("address");
    item.shown.port = static_cast<std::uint16_t>(object.number("port", {1, 65'535}));
    item.shown.agent_port = static_cast<std::uint16_t>(object.number("agent_port", {1, 65'535}));
    item.shown.cores = static_cast<std::uint32_t>(object.number("cores", {0, 4096}));
    item.shown.memory_mb = static_cast<std::uint32_t>(object.number("memory_mb", {0, INT32_MAX}));
    item.shown.accelerators = static_cast<std::uint32_t>(object.number_or("accelerators", 0, {0, 4096}));
    item.shown.boot_count = static_cast<std::uint64_t>(object.number("boot", {0, INT64_MAX}));
    const std::string done = object.text_or("done_operation", "");
    if (!done.empty() && done == item.order_operation) {
        item.done_operation = done;
        item.order_operation.clear();
    }
    reply(from, 200,
          boost::json::serialize(
              boost::json::object{{"operation", item.order_operation}, {"pool", item.order_pool}}));
}

void fake_platform::handle_control(const request_ptr& from) {
    if (from->method() == "GET") {
        boost::json::object callers;
        for (const auto& [name, usage] : m_usage) {
            callers[name] = {{"reads", usage.reads},
                             {"writes", usage.writes},
                             {"watches", usage.watches},
                             {"bytes", usage.bytes}};
        }
        reply(from, 200, boost::json::serialize(callers));
        return;
    }
    findings problems;
    const boost::json::value body = parse_json(from->body(), "", problems);
    json_object object(body, "", problems);
    const auto kind = value_named<trouble>(object.text("trouble"));
    set_trouble(object.text_or("caller", ""), kind.value_or(trouble::none),
                milliseconds(object.number_or("delay_ms", 0, {0, 60'000})),
                static_cast<int>(object.number_or("next_writes", -1, {-1, 1'000'000})));
    reply(from, kind ? 200 : 400);
}

void fake_platform::tick() {
    const timestamp now = event_loop::now();
    for (auto watch = m_watchers.begin(); watch != m_watchers.end();) {
        if (watch->until <= now) {
            reply(watch->from, 304);
            watch = m_watchers.erase(watch);
        } else {
            ++watch;
        }
    }
    std::erase_if(m_items, [now](const auto& pair) {
        return pair.second.expires != timestamp{0} && pair.second.expires <= now;
    });
    m_timer->start(tick_interval);
}

} // namespace siskinpaddle::fakes
