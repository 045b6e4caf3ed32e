#include "trial/platform_client.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds call_timeout = 2s;
constexpr int max_update_attempts = 12;
constexpr milliseconds initial_backoff = 20ms;
constexpr milliseconds max_backoff = 1s;

http_client_limits client_limits() {
    http_client_limits limits;
    limits.max_body = 4U << 20U;
    return limits;
}

stored_value read_value(http_answer& answer) {
    return {std::strtoull(std::string(answer.headers.get("Version")).c_str(), nullptr, 10),
            std::move(answer.body)};
}

store_status to_status(const http_answer& answer) {
    if (answer.status == exchange_status::connect_failed) {
        return store_status::unreachable;
    }
    if (answer.status != exchange_status::answered) {
        return store_status::unknown;
    }
    switch (answer.code) {
    case 200:
        return store_status::ok;
    case 304:
        return store_status::unchanged;
    case 404:
        return store_status::absent;
    default:
        // By the platform's protocol, a 5xx answer means that the call wasn't applied.
        return answer.code >= 500 ? store_status::unreachable : store_status::conflict;
    }
}

listed_vm read_listed_vm(const boost::json::value& value, findings& problems) {
    json_object object(value, "/vms", problems);
    listed_vm vm;
    vm.id = object.text("id");
    vm.availability_zone = object.text("availability_zone");
    vm.rack = object.text("rack");
    vm.address = object.text("address");
    vm.port = static_cast<std::uint16_t>(object.number("port", {1, 65'535}));
    vm.agent_port = static_cast<std::uint16_t>(object.number("agent_port", {1, 65'535}));
    vm.cores = static_cast<std::uint32_t>(object.number("cores", {0, 4096}));
    vm.memory_mb = static_cast<std::uint32_t>(object.number("memory_mb", {0, INT32_MAX}));
    vm.accelerators = static_cast<std::uint32_t>(object.number_or("accelerators", 0, {0, 4096}));
    vm.boot_count = static_cast<std::uint64_t>(object.number("boot", {0, INT64_MAX}));
    vm.state = value_named<listing_state>(object.text("state")).value_or(listing_state::live);
    return vm;
}

} // namespace

platform_client::platform_client(event_loop& loop, endpoint platform, std::string caller)
    : m_loop(loop), m_platform(std::move(platform)), m_caller(std::move(caller)),
      m_client(loop, client_limits()), m_random(hash64(m_caller)) {}

http_call platform_client::make_request(std::string method, std::string target) const {
    http_call call;
    call.to = m_platform;
    call.method = std::move(method);
    call.target = std::move(target);
    call.headers.add("Caller", m_caller);
    call.timeout = call_timeout;
    return call;
}

void platform_client::send_call(http_call request, std::function<void(store_status, http_answer)> done) {
    m_client.send(std::move(request), [this, done = std::move(done)](http_answer answer) {
        m_is_reachable = answer.status == exchange_status::answered && answer.code < 500;
        const store_status status = to_status(answer);
        done(status, std::move(answer));
    });
}

void platform_client::get(const std::string& key, store_callback done) {
    ++m_usage.reads;
    send_call(make_request("GET", "/kv/" + key),
              [done = std::move(done)](store_status status, http_answer answer) {
                  done({status, status == store_status::ok ? read_value(answer) : stored_value{}});
              });
}

void platform_client::watch(const std::string& key, std::uint64_t after, milliseconds wait,
                            store_callback done) {
    ++m_usage.watches;
    http_call http_request = make_request("GET", "/kv/" + key + "?after=" + std::to_string(after) +
                                                     "&wait_ms=" + std::to_string(wait.count()));
    http_request.timeout = wait + call_timeout;
    send_call(std::move(http_request), [done = std::move(done)](store_status status, http_answer answer) {
        done({status, status == store_status::ok ? read_value(answer) : stored_value{}});
    });
}

void platform_client::put(const std::string& key, std::uint64_t expected, std::string bytes, milliseconds ttl,
                          store_callback done) {
    ++m_usage.writes;
    http_call http_request = make_request("PUT", "/kv/" + key);
    http_request.headers.add("If-Version", std::to_string(expected));
    if (ttl > milliseconds{0}) {
        http_request.headers.add("Ttl-Ms", std::to_string(ttl.count()));
    }
    http_request.body = std::move(bytes);
    send_call(std::move(http_request), [done = std::move(done)](store_status status, http_answer answer) {
        done({status, read_value(answer)});
    });
}

struct platform_client::update_state {
    std::string key;
    mutation change;
    store_callback done;
    stored_value current;
    std::string next;
    int attempts = 0;
    std::unique_ptr<timer> backoff;
};

void platform_client::update(const std::string& key, std::optional<stored_value> known, mutation change,
                             store_callback done) {
    auto state = std::make_shared<update_state>();
    state->key = key;
    state->change = std::move(change);
    state->done = std::move(done);
    if (known) {
        state->current = std::move(*known);
        write_update(state);
    } else {
        read_for_update(state);
    }
}

void platform_client::read_for_update(const std::shared_ptr<update_state>& state) {
    get(state->key, [this, state](store_answer answer) {
        if (answer.status != store_status::ok && answer.status != store_status::absent) {
            retry_update(state, answer.status);
            return;
        }
        state->current = std::move(answer.value);
        write_update(state);
    });
}

void platform_client::write_update(const std::shared_ptr<update_state>& state) {
    std::optional<std::string> next = state->change(state->current);
    if (!next) {
        m_loop.post([state, alive = m_lifetime.weak_token()] {
            if (!alive.expired()) {
                state->done({store_status::ok, state->current});
            }
        });
        return;
    }
    state->next = std::move(*next);
    put(state->key, state->current.version, state->next, milliseconds{0}, [this, state](store_answer answer) {
        if (answer.status == store_status::ok) {
            state->done({store_status::ok, {answer.value.version, std::move(state->next)}});
            return;
        }
        retry_update(state, answer.status);
    });
}

void platform_client::retry_update(const std::shared_ptr<update_state>& state, store_status failure) {
    if (++state->attempts >= max_update_attempts) {
        state->done({failure, {}});
        return;
    }
    // Jitter keeps writers that lost the same compare-and-swap from conflicting again.
    const milliseconds max_delay =
        std::min(max_backoff, initial_backoff * (1 << std::min(state->attempts, 6)));
    const milliseconds delay(1 + m_random.next_below(static_cast<std::uint64_t>(max_delay.count())));
    state->backoff = m_loop.make_timer([this, state] { read_for_update(state); });
    state->backoff->start(failure == store_status::conflict && state->attempts == 1 ? 1ms : delay);
}

void platform_client::acquire_lease(const std::string& name, milliseconds ttl,
                                    std::function<void(lease_answer)> done) {
    ++m_usage.writes;
    http_call http_request = make_request("POST", "/leases/" + name);
    http_request.body =
        boost::json::serialize(boost::json::object{{"holder", m_caller}, {"ttl_ms", ttl.count()}});
    send_call(std::move(http_request), [this, done = std::move(done)](store_status status,
                                                                      const http_answer& answer) {
        lease_answer result;
        result.status = status;
        if (status == store_status::ok || status == store_status::conflict) {
            findings problems;
            const boost::json::value body = parse_json(answer.body, "/lease", problems);
            json_object object(body, "/lease", problems);
            result.holder = object.text("holder");
            result.term = static_cast<std::uint64_t>(object.number("term", {0, INT64_MAX}));
            result.is_held = status == store_status::ok && result.holder == m_caller && problems.empty();
        }
        done(result);
    });
}

void platform_client::release_lease(const std::string& name) {
    ++m_usage.writes;
    send_call(make_request("DELETE", "/leases/" + name + "?holder=" + m_caller),
              [](store_status, const http_answer&) {});
}

void platform_client::list_vms(std::function<void(store_status, std::vector<listed_vm>)> done) {
    ++m_usage.lists;
    http_call http_request = make_request("GET", "/vms");
    if (!m_list_tag.empty()) {
        http_request.headers.add("If-None-Match", m_list_tag);
    }
    send_call(std::move(http_request),
              [this, done = std::move(done)](store_status status, const http_answer& answer) {
                  std::vector<listed_vm> vms;
                  findings problems;
                  if (status == store_status::ok) {
                      const boost::json::value body = parse_json(answer.body, "/vms", problems);
                      if (body.is_array()) {
                          for (const auto& item : body.get_array()) {
                              vms.push_back(read_listed_vm(item, problems));
                          }
                      } else {
                          problems.add("/vms", "must be an array");
                      }
                  }
                  if (status == store_status::ok && problems.empty()) {
                      m_list_tag = answer.headers.get("ETag");
                      m_list_bytes = answer.body.size();
                  }
                  done(problems.empty() ? status : store_status::unreachable, std::move(vms));
              });
}

void platform_client::reboot(const reboot_action& action, std::function<void(store_status)> done) {
    ++m_usage.writes;
    http_call http_request = make_request("POST", "/vms/" + action.vm + "/reboot");
    http_request.body =
        boost::json::serialize(boost::json::object{{"operation", action.operation}, {"pool", action.pool}});
    send_call(std::move(http_request),
              [done = std::move(done)](store_status status, const http_answer&) { done(status); });
}

} // namespace siskinpaddle
