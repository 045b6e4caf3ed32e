#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
const std::string acme_key = "acme-secret-1";
const std::string second_acme_key = "acme-secret-2";
const std::string other_key = "other-secret";
/// Time within which a revoked key must be refused, in these tests.
constexpr milliseconds revocation_time = 2s;
const std::string job_target = "/quotes/" + job_a;

struct account_options {
    std::vector<std::string> acme_keys{acme_key, second_acme_key};
    std::int64_t acme_millicores = 0; ///< 0: no limit.
};

/// A configuration with two accounts, a queue for accounts, "/quotes/", and a public one, "/open/".
std::string account_configuration(std::int64_t version, const account_options& options = {}) {
    const jobs::queue_settings queue = quotes_queue();
    jobs::queue_settings open = queue;
    open.name = "open";
    open.prefix = "/open/";
    open.is_public = true;
    jobs::fleet_configuration result;
    result.version = version;
    result.queues = {queue, open};
    result.pools = {{"p", false}};
    result.max_body_bytes = 65'536;
    std::vector<platform::account_entry> accounts(2);
    accounts[0].account.name = "acme";
    accounts[0].keys = options.acme_keys;
    if (options.acme_millicores > 0) {
        accounts[0].account.limit.cpu_millicores = options.acme_millicores;
    }
    accounts[1].account.name = "other";
    accounts[1].keys = {other_key};
    return platform::encode_configuration(result, accounts);
}

void use_accounts(node::node_settings& settings) {
    settings.key_revocation_time = revocation_time;
    settings.strict_key_revocation = true;
}

/// A deployment with accounts: one VM and the node "n1", which serves.
struct account_deployment : node_deployment {
    explicit account_deployment(milliseconds run_time, const account_options& options = {}) {
        configure(account_configuration(3, options));
        add_vm("v1", run_time);
        start_node("n1", use_accounts);
        REQUIRE(until([&] { return call("n1", "GET", "/quotes/", {}, {acme_key}).code == 200; }));
    }

    /// Starts the node "n2", which the store can turn away, and waits until it serves through "n1".
    void start_second_node() {
        const std::uint16_t port = store.open_second_port();
        REQUIRE(port != 0);
        start_node("n2", [port](node::node_settings& settings) {
            use_accounts(settings);
            settings.store.port = port;
        });
        REQUIRE(until([&] { return call("n2", "GET", "/quotes/", {}, {acme_key}).code == 200; }));
    }

    void wait(milliseconds time) {
        const timestamp began = event_loop::now();
        REQUIRE(until([&] { return event_loop::now() - began >= time; }));
    }
};

} // namespace

TEST_CASE("calls to a queue for accounts need exactly one valid key") {
    account_deployment d(100ms);
    struct key_case {
        const char* description;
        std::vector<std::string> keys;
        int code;
    };
    const std::vector<key_case> cases{{"no key", {}, 401},
                                      {"an empty key", {""}, 401},
                                      {"an unknown key", {"nobody"}, 401},
                                      {"a part of a key", {acme_key.substr(1)}, 401},
                                      {"two keys", {acme_key, acme_key}, 401},
                                      {"an overlong key", {std::string(5000, 'k')}, 401},
                                      {"a valid key", {acme_key}, 200},
                                      {"another valid key of the account", {second_acme_key}, 200}};
    for (const key_case& item : cases) {
        INFO(item.description);
        CHECK(d.call("n1", "GET", "/quotes/", {}, item.keys).code == item.code);
        CHECK(d.call("n1", "POST", job_target, d.job_body(1), item.keys).code == item.code);
        const int expected = item.code == 200 ? 200 : 401;
        CHECK(d.call("n1", "GET", job_target, {}, item.keys).code == expected);
        CHECK(d.call("n1", "DELETE", "/quotes/" + job_b, {}, item.keys).code ==
              (item.code == 200 ? 410 : 401));
        const bool is_stored = d.store.count("sp/job/p/") + d.store.count("sp/progress/p/") > 0;
        CHECK(is_stored == (item.code == 200));
    }
    CHECK(d.call("n1", "POST", "/open/" + job_b, d.job_body(1)).code == 200);
    CHECK(d.call("n1", "GET", "/open/").code == 200);
    CHECK(d.call("n1", "GET", "/none/", {}, {acme_key}).code == 404);
}

// Guards against an account that reads, repeats or cancels another account's job, also after the job has
// ended and its owner has changed.
TEST_CASE("a job is known to its own account only") {
    account_deployment d(1500ms);
    CHECK(d.call("n1", "POST", job_target, d.job_body(2), {acme_key}).code == 200);
    REQUIRE(d.until_started(2));
    const auto check_access = [&](const std::string& node) {
        INFO(node);
        CHECK(d.call(node, "GET", job_target, {}, {other_key}).code == 410);
        CHECK(d.call(node, "DELETE", job_target, {}, {other_key}).code == 410);
        CHECK(d.call(node, "POST", job_target, d.job_body(2), {other_key}).code == 409);
        CHECK(d.call(node, "POST", job_target, d.job_body(2), {second_acme_key}).code == 200);
    };
    check_access("n1");
    d.kill_node("n1");
    d.start_node("n3", use_accounts);
    REQUIRE(d.until([&] { return d.call("n3", "GET", "/quotes/", {}, {acme_key}).code == 200; }));
    check_access("n3");
    REQUIRE(d.until([&] {
        return d.call("n3", "GET", job_target, {}, {acme_key}).body.find("completed") != std::string::npos;
    }));
    check_access("n3");
    CHECK(d.done_runs() == 2);
    d.check_runs_once();
}

TEST_CASE("a new key comes into force, and a revoked one is refused") {
    account_deployment d(100ms);
    d.configure(account_configuration(4, {{second_acme_key, "acme-secret-3"}}));
    CHECK(d.until([&] { return d.call("n1", "GET", "/quotes/", {}, {acme_key}).code == 401; }));
    CHECK(d.call("n1", "GET", "/quotes/", {}, {"acme-secret-3"}).code == 200);
    CHECK(d.call("n1", "GET", "/quotes/", {}, {second_acme_key}).code == 200);
}

// Guards against a node that accepts a revoked key because it can't read newer configurations.
TEST_CASE("a node that the store turns away serves through the pool's owner, which refuses revoked keys") {
    account_deployment d(100ms);
    d.start_second_node();
    d.store.set_second_port_busy(true);
    d.configure(account_configuration(4, {{second_acme_key}}));
    const timestamp revoked_at = event_loop::now();
    REQUIRE(d.until([&] { return event_loop::now() - revoked_at > revocation_time; }));
    CHECK(d.call("n2", "GET", "/quotes/", {}, {acme_key}).code == 401);
    CHECK(d.call("n2", "POST", job_target, d.job_body(1), {acme_key}).code == 401);
    CHECK(d.call("n2", "GET", job_target, {}, {acme_key}).code == 401);
    CHECK(d.call("n2", "DELETE", job_target, {}, {acme_key}).code == 401);
    CHECK(d.store.count("sp/job/p/") + d.store.count("sp/progress/p/") == 0);
    CHECK(d.call("n2", "POST", job_target, d.job_body(1), {second_acme_key}).code == 200);
    CHECK(d.call("n2", "GET", job_target, {}, {second_acme_key}).code == 200);
    CHECK(d.call("n2", "GET", job_target, {}, {other_key}).code == 503);
    CHECK(d.call("n2", "GET", "/quotes/", {}, {second_acme_key}).code == 200);
}

// Guards against a node that serves with a key from a newer configuration than its own, and the next call by
// its own again.
TEST_CASE("a node that the store turns away doesn't serve with keys that were added since") {
    account_deployment d(100ms);
    d.start_second_node();
    d.store.set_second_port_busy(true);
    d.wait(revocation_time); // Until the watch that was open has ended.
    d.configure(account_configuration(4, {{acme_key, "acme-secret-3"}}));
    REQUIRE(d.until([&] { return d.call("n1", "GET", "/quotes/", {}, {"acme-secret-3"}).code == 200; }));
    d.wait(revocation_time);
    const http_answer refused = d.call("n2", "POST", job_target, d.job_body(1), {"acme-secret-3"});
    CHECK(refused.code == 503);
    CHECK(refused.headers.get("Retry-After") == "1");
    CHECK(d.call("n2", "GET", "/quotes/", {}, {"acme-secret-3"}).code == 503);
    CHECK(d.store.count("sp/job/p/") + d.store.count("sp/progress/p/") == 0);
    CHECK(d.call("n2", "POST", job_target, d.job_body(1), {acme_key}).code == 200);
    d.store.set_second_port_busy(false);
    CHECK(d.until([&] { return d.call("n2", "GET", "/quotes/", {}, {"acme-secret-3"}).code == 200; }));
}

TEST_CASE("a node that neither the store nor an owner confirms refuses calls with a key at once") {
    account_deployment d(100ms);
    d.start_second_node();
    d.store.set_second_port_busy(true);
    d.kill_node("n1");
    d.wait(revocation_time);
    const http_answer refused = d.call("n2", "POST", job_target, d.job_body(1), {acme_key});
    CHECK(refused.code == 503);
    CHECK(refused.headers.get("Retry-After") == "1");
    CHECK(d.call("n2", "GET", "/quotes/", {}, {"nobody"}).code == 503);
    // A newer version may have made the queue public.
    CHECK(d.call("n2", "GET", "/quotes/").code == 503);
}

// Guards against a key that is served although the store has reported no changes for longer than a revoked
// key may be.
TEST_CASE("a watch that is connected and silent does not prove that a key is valid") {
    account_deployment d(100ms);
    d.store.hold_watches("op/");
    d.configure(account_configuration(4, {{second_acme_key}}));
    d.wait(revocation_time);
    CHECK(d.call("n1", "GET", "/quotes/", {}, {acme_key}).code == 503);
    CHECK(d.call("n1", "POST", job_target, d.job_body(1), {acme_key}).code == 503);
    CHECK(d.store.count("sp/job/p/") == 0);
    d.store.hold_watches("");
    CHECK(d.until([&] { return d.call("n1", "GET", "/quotes/", {}, {acme_key}).code == 401; }));
}

TEST_CASE("an account has no more running than its limit, and another one is not held up") {
    account_deployment d(300ms, {{acme_key}, 2000});
    std::size_t most = 0;
    CHECK(d.call("n1", "POST", job_target, d.job_body(12), {acme_key}).code == 200);
    CHECK(d.call("n1", "POST", "/quotes/" + job_b, d.job_body(4), {other_key}).code == 200);
    const auto count_active = [&] {
        const auto& runs = d.vms[0]->runs();
        const auto active = std::ranges::count_if(runs, [&](const auto& run) {
            return run.ended_at == timestamp(0) && run.task.starts_with(job_a);
        });
        most = std::max(most, static_cast<std::size_t>(active));
        return d.done_runs() == 16;
    };
    REQUIRE(d.until(count_active));
    CHECK(most == 4);
    // The other account's tasks all started beside the first ones.
    const auto& runs = d.vms[0]->runs();
    const auto first_four = std::ranges::count_if(
        runs, [&](const auto& run) { return run.started_at < runs.front().started_at + 250ms; });
    CHECK(first_four == 8);
    d.check_runs_once();
}

// Guards against a successor that counts the runs of its predecessor only once it has found them.
TEST_CASE("a new owner counts what its predecessor may have started against the limit") {
    account_deployment d(4000ms, {{acme_key}, 2000});
    d.add_vm("v2", 4000ms);
    CHECK(d.call("n1", "POST", job_target, d.job_body(4), {acme_key}).code == 200);
    REQUIRE(d.until_started(4));
    d.vms[0]->set_silent(true);
    d.vms[1]->set_silent(true);
    d.kill_node("n1");
    d.start_node("n3", use_accounts);
    REQUIRE(d.until(
        [&] { return d.call("n3", "POST", "/quotes/" + job_b, d.job_body(4), {acme_key}).code == 200; }));
    d.add_vm("v3", 4000ms);
    d.wait(500ms);
    CHECK(d.vms[2]->runs().empty());
    d.vms[0]->set_silent(false);
    d.vms[1]->set_silent(false);
    REQUIRE(d.until([&] { return d.done_runs() == 8; }));
    d.check_runs_once();
}

TEST_CASE("a job that never fits its account's limit is refused") {
    account_deployment d(100ms, {{acme_key}, 400});
    const http_answer refused = d.call("n1", "POST", job_target, d.job_body(1), {acme_key});
    CHECK(refused.code == 429);
    CHECK(refused.body.find("limit") != std::string::npos);
    CHECK(d.call("n1", "POST", job_target, d.job_body(1), {other_key}).code == 200);
}

TEST_CASE("metrics show what an account uses and may use") {
    account_deployment d(2000ms, {{acme_key}, 2000});
    CHECK(d.call("n1", "POST", job_target, d.job_body(12), {acme_key}).code == 200);
    REQUIRE(d.until_started(4));
    const std::string label = "{account=\"acme\",pool=\"p\"}";
    CHECK(d.metric("n1", "siskinpaddle_account_limit_millicores" + label) == 2000);
    CHECK(d.metric("n1", "siskinpaddle_account_used_millicores" + label) == 2000);
    CHECK(d.metric("n1", "siskinpaddle_account_blocked_millicores" + label) > 0);
    CHECK(d.metric("n1", "siskinpaddle_account_allowance_millicores" + label) == 2000);
}
