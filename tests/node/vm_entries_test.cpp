#include "node/node_deployment.hpp"
#include "node/vm_directory.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";

/// Above the 400 ms between two watches of the entries.
constexpr milliseconds watch_delay_bound = 1500ms;

/// Far beyond the depth that a parser with recursion bears.
constexpr std::size_t nesting_depth = 100'000;

/// Above the VMs' lease of six seconds.
constexpr milliseconds beyond_lease = 8s;

/// A job of one task that runs until it is stopped.
std::string long_lived_job_body() {
    jobs::job_spec spec = one_task_record({}).spec;
    spec.payload = fakes::task_vm::long_lived_payload;
    spec.steps[0].long_lived = true;
    return platform::encode_job(spec);
}

/// Entries that list no usable VM; `good` is the registration of an existing VM.
std::vector<std::pair<std::string, std::string>> unusable_entries(const std::string& good) {
    const auto changed = [&good](const char* field, const boost::json::value& value) {
        boost::json::object object = boost::json::parse(good).as_object();
        object[field] = value;
        return boost::json::serialize(object);
    };
    const auto with_text = [&good](const std::string& field, const std::string& text) {
        return "{\"" + field + "\":" + text + "," + good.substr(1);
    };
    const std::string long_port = "127.0.0.1:" + std::string(100, '9');
    const std::string nested = std::string(nesting_depth, '[') + std::string(nesting_depth, ']');
    return {{"nested", nested},
            {"nested-not-closed", std::string(nesting_depth, '{')},
            {"nested-field", with_text("extra", nested)},
            {"number-exponent", with_text("extra", "1e999999999999")},
            {"number-digits", with_text("seq", std::string(1000, '9'))},
            {"number-infinite", with_text("cold_left_ms", "1e400")},
            {"number-large", changed("seq", 1e300)},
            {"start-large", changed("born", 1e300)},
            {"start-negative", changed("born", -1)},
            {"capacity-large", changed("capacity", boost::json::object{{"cpu", 1e300}, {"mem_mb", 1}})},
            {"port-large", changed("address", "127.0.0.1:65536")},
            {"port-digits", changed("address", boost::json::string(long_port))},
            {"port-negative", changed("address", "127.0.0.1:-1")},
            {"port-zero", changed("address", "127.0.0.1:0")},
            {"port-missing", changed("address", "127.0.0.1")},
            {"empty", ""},
            {"bytes", std::string("\0\xff\xfe{", 4)},
            {"cut", good.substr(0, good.size() / 2)},
            {"state", changed("state", "resting")},
            {"service", changed("service", "nowhere")},
            {"service-type", changed("service", boost::json::array{"p"})},
            {"capacity", changed("capacity", "4000")},
            {"labels", changed("labels", 7)},
            {"address", changed("address", "vm.example:80")},
            {"seq", changed("seq", "4")}};
}

} // namespace

TEST_CASE("entries that another program writes beside those of the VMs get no work, and the VMs do it all") {
    // Guards against work that stops, or tasks that are sent to VMs that don't exist, when another program
    // writes entries that are not complete registrations: one of them made the whole listing fail, or was
    // used as a VM. All entries name an address that answers, so that every call to one of them is counted.
    node_deployment d;
    d.add_vm("v1", 50ms);
    int calls = 0;
    http_server decoy(d.loop, {}, [&calls](const std::shared_ptr<server_request>& request) {
        ++calls;
        request->reply(503, {}, "");
    });
    REQUIRE(decoy.listen({"127.0.0.1", 0}));
    const std::string whole = d.vms[0]->registration("p", decoy.port());
    for (const auto& [name, entry] : unusable_entries(whole)) {
        d.store.put(platform::vm_key(name), entry);
    }
    d.store.put("servers/", whole);
    d.start_node("n1");
    d.wait_until_serving("n1");
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(30)).code == 200);
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    for (const auto& [name, entry] : unusable_entries(whole)) {
        d.store.put(platform::vm_key("later-" + name), entry);
    }
    CHECK(d.call("n1", "POST", "/quotes/" + job_b, d.job_body(30)).code == 200);
    CHECK(d.reaches_phase("n1", job_b, "completed"));
    CHECK(d.done_runs() == 60);
    CHECK(calls == 0);
    d.check_runs_once();
}

TEST_CASE("a VM whose entry is overwritten gets no work until it can be read again, and keeps its runs") {
    // Guards against tasks that start on a VM in an unconfirmed state, or run twice: another program
    // overwrites a VM's entry for longer than the VM's lease while a task runs there. The old entry must not
    // stay in use, and the VM must not count as gone, since its task would start elsewhere.
    struct overwrite_case {
        std::string name;
        std::string pending_job; ///< The job that is submitted meanwhile.
    };
    node_deployment d;
    d.serve_with_one_vm(100ms);
    const std::string good = d.vms[0]->registration("p");
    const auto entries = unusable_entries(good);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, long_lived_job_body()).code == 200);
    REQUIRE(d.until_started(1));
    std::size_t started = 1;
    for (const overwrite_case& item :
         {overwrite_case{"cut", "00000000000000b1"}, overwrite_case{"state", "00000000000000b2"}}) {
        INFO(item.name);
        const auto entry =
            std::ranges::find(entries, item.name, [](const auto& entry) { return entry.first; });
        d.store.put(platform::vm_key("v1"), entry->second);
        const timestamp overwritten = event_loop::now();
        REQUIRE(d.until([&] { return event_loop::now() - overwritten > watch_delay_bound; }));
        d.store.put("sp/inbox/p/submit/" + item.pending_job,
                    encode_archive(one_task_record(item.pending_job)));
        REQUIRE(d.until([&] { return event_loop::now() - overwritten > beyond_lease; }));
        CHECK(d.vms[0]->runs().size() == started);
        d.store.put(platform::vm_key("v1"), good);
        CHECK(d.reaches_phase("n1", item.pending_job, "completed"));
        CHECK(d.vms[0]->runs().size() == ++started);
    }
    CHECK(d.vms[0]->runs()[0].ended_at == timestamp(0));
    d.check_runs_once();
}

TEST_CASE("the directory reports a VM whose entry can't be read as no longer listed") {
    // Guards against a VM that stays in use after another program has overwritten its entry. The VM must
    // still count as registered: only a VM that is not registered may be regarded as gone because of the
    // older list of machines.
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    start_test_log();
    fakes::task_vm vm(loop, "v1", 100ms);
    const std::string good = vm.registration("p", 8080);
    const std::string key = platform::vm_key("v1");
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    std::vector<std::string> reported;
    node::vm_directory directory(loop, client, [&](const std::string& name, const auto& info) {
        reported.push_back(name + (info ? " listed" : " not listed"));
    });
    directory.start({});
    store.put(key, good);
    REQUIRE(loop_until(loop, [&] { return reported.size() == 1; }));
    for (const auto& item : unusable_entries(good)) {
        if (item.first == "service") {
            continue; // A complete registration, but of no pool here: the pool's owner decides.
        }
        INFO(item.first);
        reported.clear();
        store.put(key, item.second);
        REQUIRE(loop_until(loop, [&] { return !reported.empty(); }));
        CHECK(reported == std::vector<std::string>{"v1 not listed"});
        CHECK(directory.vms().empty());
        CHECK(directory.is_registered("v1"));
        store.put(key, good);
        REQUIRE(loop_until(loop, [&] { return reported.size() == 2; }));
        CHECK(reported.back() == "v1 listed");
        CHECK(directory.vms().contains("v1"));
    }
    store.put(key, "");
    REQUIRE(loop_until(loop, [&] { return directory.vms().empty(); }));
    store.remove(key);
    CHECK(loop_until(loop, [&] { return !directory.is_registered("v1"); }));
}

// Guards against two starts of a VM that count as one while the VM's entry changes from one to the other.
TEST_CASE("the directory reports the end of one start of a VM before the next") {
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    start_test_log();
    fakes::task_vm vm(loop, "v1", 100ms);
    const std::string key = platform::vm_key("v1");
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    std::vector<std::string> reported;
    node::vm_directory directory(loop, client, [&](const std::string& name, const auto& info) {
        reported.push_back(name + (info ? " listed" : " not listed"));
    });
    directory.start({});
    const auto put_start = [&](std::int64_t started_ms) {
        vm.set_started(started_ms, 0);
        store.put(key, vm.registration("p", 8080));
    };
    put_start(1'700'000'000'000);
    REQUIRE(loop_until(loop, [&] { return reported.size() == 1; }));
    put_start(1'700'000'060'000);
    REQUIRE(loop_until(loop, [&] { return reported.size() == 3; }));
    CHECK(reported == std::vector<std::string>{"v1/1700000000000 listed", "v1/1700000000000 not listed",
                                               "v1/1700000060000 listed"});
    CHECK(directory.vms().size() == 1);
    CHECK(*directory.find_listed("v1") == "v1/1700000060000");
    CHECK(directory.is_registered("v1/1700000000000")); // The VM's entry exists.
    store.remove(key);
    REQUIRE(loop_until(loop, [&] { return reported.size() == 4; }));
    CHECK(reported.back() == "v1/1700000060000 not listed");
    CHECK(directory.find_listed("v1") == nullptr);
}
