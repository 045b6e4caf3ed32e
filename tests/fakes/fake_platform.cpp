#include "fakes/fake_platform.hpp"

#include <algorithm>

namespace siskinpaddle::fakes {

namespace {

constexpr milliseconds tick_interval = 20ms;
constexpr milliseconds vm_timeout = 700ms;

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
      m_server(loop, limits(), [this](const request_ptr& request) { receive_request(request); }),
      m_timer(loop.make_timer([this] { tick(); })) {
    tick();
}

void fake_platform::set_fault(const std::string& caller, injected_fault kind, milliseconds delay,
                              int next_writes) {
    m_faults[caller] = {kind, delay, next_writes};
    if (kind != injected_fault::unresponsive && kind != injected_fault::down) {
        return;
    }
    // A pending watch would otherwise still deliver an update to an unreachable caller.
    for (auto watch = m_watchers.begin(); watch != m_watchers.end();) {
        if (caller.empty() || watch->request->headers().get("Caller") == caller) {
            m_unanswered.push_back(watch->request);
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
        item.listed.id = "w" + std::to_string(10'000 + i);
        item.listed.availability_zone = std::string(1, static_cast<char>('a' + i / 4 % 4));
        item.listed.rack = "r" + std::to_string(10'000 + i / 4);
        item.listed.address = target.address;
        item.listed.port = target.port;
        item.listed.agent_port = target.port;
        item.listed.cores = 32;
        item.listed.memory_mb = 64'000;
        item.listed.boot_count = 1;
        item.alive_until = timestamp::max() / 2;
        item.is_static = true;
        m_vms[item.listed.id] = item;
    }
}

caller_usage& fake_platform::usage_of(const server_request& request) {
    return m_usage[std::string(request.headers().get("Caller"))];
}

void fake_platform::reply(const request_ptr& request, int code, std::string_view body,
                          std::uint64_t version) {
    usage_of(*request).bytes += body.size();
    http_headers headers;
    if (version > 0) {
        headers.add("Version", std::to_string(version));
    }
    request->reply(code, headers, body);
}

void fake_platform::receive_request(const request_ptr& request) {
    if (path_of_target(request->target()) == "/control") {
        handle_control(request);
        return;
    }
    caller_usage& usage = usage_of(*request);
    usage.bytes += request->body().size();
    if (request->target().find("after=") != std::string::npos) {
        ++usage.watches;
    } else {
        ++(request->method() == "GET" ? usage.reads : usage.writes);
    }
    if (!apply_fault(request)) {
        handle(request);
    }
}

bool fake_platform::apply_fault(const request_ptr& request) {
    const std::string caller(request->headers().get("Caller"));
    // Polls of the VMs are internal to the fake; faults affect only the system under test.
    if (request->target().starts_with("/vm/")) {
        return false;
    }
    fault_state& state = m_faults.contains(caller) ? m_faults[caller] : m_faults[""];
    const bool is_write = request->method() != "GET";
    if (state.kind == injected_fault::none || (state.writes_left >= 0 && !is_write)) {
        return false;
    }
    if (state.writes_left == 0) {
        state = {};
        return false;
    }
    state.writes_left -= state.writes_left > 0 ? 1 : 0;
    switch (state.kind) {
    case injected_fault::none:
        return false;
    case injected_fault::down:
        reply(request, 503);
        return true;
    case injected_fault::unresponsive:
        m_unanswered.push_back(request);
        return true;
    case injected_fault::slow:
        m_delays.push_back(m_loop.make_timer([this, request] { handle(request); }));
        m_delays.back()->start(state.delay);
        return true;
    case injected_fault::lose_answer:
        if (is_write) {
            // Applies the write of the request that was stored last in m_unanswered, without an answer.
            m_unanswered.push_back(request);
            handle_put(nullptr, std::string(path_of_target(request->target())).substr(4));
            return true;
        }
        return false;
    }
    return false;
}

void fake_platform::handle(const request_ptr& request) {
    const std::string path(path_of_target(request->target()));
    if (path.starts_with("/kv/")) {
        request->method() == "GET" ? handle_kv(request, path.substr(4)) : handle_put(request, path.substr(4));
    } else if (path.starts_with("/leases/")) {
        handle_lease(request, path.substr(8));
    } else if (path == "/vms") {
        handle_vms(request);
    } else if (path.starts_with("/vms/") && path.ends_with("/reboot")) {
        handle_reboot(request, path.substr(5, path.size() - 5 - 7));
    } else if (path.starts_with("/vm/")) {
        handle_vm_poll(request, path.substr(4));
    } else {
        reply(request, 404);
    }
}

void fake_platform::handle_kv(const request_ptr& request, const std::string& key) {
    const auto found = m_items.find(key);
    const std::string after = query_parameter(request->target(), "after");
    if (!after.empty()) {
        const std::uint64_t seen = to_number(after);
        if (found == m_items.end() || found->second.version <= seen) {
            const milliseconds wait(to_number(query_parameter(request->target(), "wait_ms")));
            m_watchers.push_back({request, key, seen, event_loop::now() + wait});
            return;
        }
    }
    if (found == m_items.end()) {
        reply(request, 404);
        return;
    }
    reply(request, 200, found->second.bytes, found->second.version);
}

void fake_platform::handle_put(const request_ptr& request, const std::string& key) {
    // A null request selects the last unanswered one, which is applied without an answer.
    const server_request& call = request ? *request : *m_unanswered.back();
    const auto found = m_items.find(key);
    const std::uint64_t current = found == m_items.end() ? 0 : found->second.version;
    if (current != to_number(call.headers().get("If-Version"))) {
        if (request) {
            reply(request, 409, {}, current);
        }
        return;
    }
    const milliseconds ttl(to_number(call.headers().get("Ttl-Ms")));
    const timestamp expires = ttl > milliseconds{0} ? event_loop::now() + ttl : timestamp{0};
    m_items[key] = {++m_version, call.body(), expires};
    if (request) {
        reply(request, 200, {}, m_version);
    }
    notify(key);
}

void fake_platform::notify(const std::string& key) {
    const auto& current = m_items[key];
    for (auto watch = m_watchers.begin(); watch != m_watchers.end();) {
        if (watch->key == key && current.version > watch->after) {
            reply(watch->request, 200, current.bytes, current.version);
            watch = m_watchers.erase(watch);
        } else {
            ++watch;
        }
    }
}

void fake_platform::handle_lease(const request_ptr& request, const std::string& name) {
    const timestamp now = event_loop::now();
    lease& current_lease = m_leases[name];
    if (request->method() == "DELETE") {
        if (current_lease.holder == query_parameter(request->target(), "holder")) {
            current_lease.until = timestamp{0};
        }
        reply(request, 200);
        return;
    }
    findings problems;
    const boost::json::value body = parse_json(request->body(), "", problems);
    json_object object(body, "", problems);
    const std::string holder = object.text("holder");
    const milliseconds ttl(object.number("ttl_ms", {1, 3'600'000}));
    const bool is_free = current_lease.until <= now;
    if (is_free || current_lease.holder == holder) {
        current_lease.term += is_free && current_lease.holder != holder ? 1 : 0;
        current_lease.holder = holder;
        current_lease.until = now + ttl;
    }
    reply(request, current_lease.holder == holder ? 200 : 409,
          boost::json::serialize(
              boost::json::object{{"holder", current_lease.holder}, {"term", current_lease.term}}));
}

void fake_platform::handle_vms(const request_ptr& request) {
    const timestamp now = event_loop::now();
    boost::json::array list;
    for (const auto& [id, item] : m_vms) {
        // A returning VM is listed after the lag, and one that has ended stays listed for the lag.
        if (now < item.listed_from || now > item.alive_until + m_list_lag) {
            continue;
        }
        list.push_back({{"id", id},
                        {"availability_zone", item.listed.availability_zone},
                        {"rack", item.listed.rack},
                        {"address", item.listed.address},
                        {"port", item.listed.port},
                        {"agent_port", item.listed.agent_port},
                        {"cores", item.listed.cores},
                        {"memory_mb", item.listed.memory_mb},
                        {"accelerators", item.listed.accelerators},
                        {"boot", item.listed.boot_count},
                        {"state", name_of(item.listed.state)}});
    }
    const std::string text = boost::json::serialize(list);
    const std::string tag = to_hex(hash64(text));
    if (request->headers().get("If-None-Match") == tag) {
        reply(request, 304);
        return;
    }
    usage_of(*request).bytes += text.size();
    http_headers headers;
    headers.add("ETag", tag);
    request->reply(200, headers, text);
}

void fake_platform::handle_reboot(const request_ptr& request, const std::string& id) {
    findings problems;
    const boost::json::value body = parse_json(request->body(), "", problems);
    json_object object(body, "", problems);
    const std::string operation = object.text("operation");
    const auto found = m_vms.find(id);
    if (found == m_vms.end()) {
        reply(request, 404);
        return;
    }
    if (found->second.is_static && operation != found->second.done_operation) {
        found->second.done_operation = operation;
        ++found->second.listed.boot_count;
    } else if (operation != found->second.done_operation) {
        found->second.order_operation = operation;
        found->second.order_pool = object.text("pool");
    }
    reply(request, 200);
}

/// Registers the VM that sends the request, and answers with its pending reboot, if any, and the reboot's
/// pool.
void fake_platform::handle_vm_poll(const request_ptr& request, const std::string& id) {
    const timestamp now = event_loop::now();
    findings problems;
    const boost::json::value body = parse_json(request->body(), "", problems);
    json_object object(body, "", problems);
    const bool is_new = !m_vms.contains(id);
    vm& item = m_vms[id];
    if (is_new || now > item.alive_until + m_list_lag) {
        item.listed_from = is_new ? now : now + m_list_lag;
    }
    item.alive_until = now + vm_timeout;
    item.listed.availability_zone = object.text("availability_zone");
    item.listed.rack = object.text("rack");
    item.listed.address = object.text("address");
    item.listed.port = static_cast<std::uint16_t>(object.number("port", {1, 65'535}));
    item.listed.agent_port = static_cast<std::uint16_t>(object.number("agent_port", {1, 65'535}));
    item.listed.cores = static_cast<std::uint32_t>(object.number("cores", {0, 4096}));
    item.listed.memory_mb = static_cast<std::uint32_t>(object.number("memory_mb", {0, INT32_MAX}));
    item.listed.accelerators = static_cast<std::uint32_t>(object.number_or("accelerators", 0, {0, 4096}));
    item.listed.boot_count = static_cast<std::uint64_t>(object.number("boot", {0, INT64_MAX}));
    const std::string done = object.text_or("done_operation", "");
    if (!done.empty() && done == item.order_operation) {
        item.done_operation = done;
        item.order_operation.clear();
    }
    reply(request, 200,
          boost::json::serialize(
              boost::json::object{{"operation", item.order_operation}, {"pool", item.order_pool}}));
}

void fake_platform::handle_control(const request_ptr& request) {
    if (request->method() == "GET") {
        boost::json::object callers;
        for (const auto& [name, usage] : m_usage) {
            callers[name] = {{"reads", usage.reads},
                             {"writes", usage.writes},
                             {"watches", usage.watches},
                             {"bytes", usage.bytes}};
        }
        reply(request, 200, boost::json::serialize(callers));
        return;
    }
    findings problems;
    const boost::json::value body = parse_json(request->body(), "", problems);
    json_object object(body, "", problems);
    const auto kind = value_named<injected_fault>(object.text("trouble"));
    set_fault(object.text_or("caller", ""), kind.value_or(injected_fault::none),
              milliseconds(object.number_or("delay_ms", 0, {0, 60'000})),
              static_cast<int>(object.number_or("next_writes", -1, {-1, 1'000'000})));
    reply(request, kind ? 200 : 400);
}

void fake_platform::tick() {
    const timestamp now = event_loop::now();
    for (auto watch = m_watchers.begin(); watch != m_watchers.end();) {
        if (watch->until <= now) {
            reply(watch->request, 304);
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
