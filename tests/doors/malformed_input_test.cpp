#include "control/entry_settings.hpp"
#include "net/loop_until.hpp"
#include "node/membership_task.hpp"
#include "node/node_settings.hpp"
#include "node/peer_protocol.hpp"
#include "peer/peer.hpp"
#include "platform/platform.hpp"
#include "policy/fleet_builder.hpp"
#include "trial/task_protocol.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::fleet_builder;
using siskinpaddle::tests::loop_until;

namespace {

constexpr int mutation_count = 3000;

/// Returns a copy with 1 to 4 random changes: a byte replaced, the text truncated, a part duplicated or
/// erased, or a fragment inserted that parsers often mishandle.
std::string mutate(std::string text, random_source& random) {
    static const std::vector<std::string> hostile_fragments{std::string(1, '\0'),
                                                            "\xff\xff\xff\xff\xff\xff\xff\xff",
                                                            "{",
                                                            "}",
                                                            "[[[[[[[[[[[[[[[[[[[[[[",
                                                            "\"",
                                                            "-1",
                                                            "1e999",
                                                            "null",
                                                            "99999999999999999999",
                                                            "\xc3\x28",
                                                            "\r\n\r\n",
                                                            "Content-Length: -5\r\n",
                                                            "Transfer-Encoding: chunked\r\n"};
    const std::uint64_t changes = 1 + random.next_below(4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random.next_below(text.size());
        switch (random.next_below(5)) {
        case 0:
            text[at] = static_cast<char>(random.next_below(256));
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.insert(at, text.substr(at, random.next_below(40)));
            break;
        case 3:
            text.insert(at, hostile_fragments[random.next_below(hostile_fragments.size())]);
            break;
        default:
            text.erase(at, random.next_below(20));
            break;
        }
    }
    return text;
}

const std::string settings_text =
    R"({"id":"e1","availability_zone":"a","callers":{"address":"127.0.0.1","port":1},"operators":{"address":"127.0.0.1",
    "port":2},"peers":{"address":"127.0.0.1","port":3},"platform":{"address":"127.0.0.1","port":4},
    "peer_key":"a shared key of at least thirty-two characters","routing":"two-choices","seed_peers":[{"address":
    "127.0.0.1","port":5}]})";

std::string stored_config_text() {
    const std::string digits(64, '0');
    return R"({"number":3,"document":{"members":{"m":{"credential_sha256":")" + digits +
           R"(","admin":true}},"pools":{"p":{"member":"m","promised":1,"size":2}},"services":{"s":{"pool":"p"}},
           "routes":{"r":{"prefix":"/r","service":"s"}},"waves":{"w":{"pool":"p","order":1}}},
           "history":[{"number":3,"write_id":"x","member":"m","paths":["/pools/p"]}]})";
}

} // namespace

TEST_CASE("mutated settings are refused with findings or are valid") {
    random_source random(11);
    int refused = 0;
    for (int i = 0; i < mutation_count; ++i) {
        findings problems;
        const boost::json::value document = parse_json(mutate(settings_text, random), "", problems);
        if (problems.empty()) {
            const entry_settings settings = parse_entry_settings(document, problems);
            if (problems.empty()) {
                REQUIRE(settings.peer_key.size() >= 32);
                REQUIRE(settings.callers.port > 0);
                REQUIRE(settings.max_requests > 0);
            }
        }
        refused += problems.empty() ? 0 : 1;
    }
    CHECK(refused > mutation_count / 2);
}

TEST_CASE("mutated configurations and patches are refused or keep the configuration consistent") {
    random_source random(12);
    findings no_problems;
    const stored_configuration valid_config = decode_stored_configuration(stored_config_text(), no_problems);
    REQUIRE(no_problems.empty());
    int refused = 0;
    for (int i = 0; i < mutation_count; ++i) {
        findings problems;
        const stored_configuration stored =
            decode_stored_configuration(mutate(stored_config_text(), random), problems);
        const configuration config = parse_configuration(stored.number, stored.document, problems);
        if (problems.empty()) {
            for (const auto& [name, pool] : config.pools) {
                REQUIRE(pool.size >= pool.promised);
                REQUIRE(config.members.contains(pool.member));
            }
            for (const auto& [name, service] : config.services) {
                REQUIRE(config.pools.contains(service.pool));
            }
        }
        refused += problems.empty() ? 0 : 1;
        findings syntax;
        const boost::json::value merge = parse_json(
            mutate(R"({"pools":{"p":{"promised":1,"size":3}},"waves":{"w":null}})", random), "", syntax);
        if (syntax.empty()) {
            const patch_result result = apply_patch(valid_config, {"m", 3, "w", merge});
            REQUIRE((result.verdict == patch_verdict::accepted) == (result.next.number == 4));
        }
    }
    CHECK(refused > mutation_count / 2);
}

TEST_CASE("mutated peer messages and values are rejected or decoded without a crash, sealed or unsealed") {
    random_source random(13);
    const std::string key = "a shared key of at least thirty-two characters";
    fleet_builder builder;
    builder.entry("e1").entry("e2", "b").vm("w1", "p").vm("w2", "q");
    heartbeat valid_heartbeat;
    valid_heartbeat.id = "e1";
    valid_heartbeat.revisions = {{"config", 3}, {"fleet", 9}};
    valid_heartbeat.busy_vms = {"w1"};
    const std::string body = encode_archive(valid_heartbeat);
    const std::string fleet_bytes = encode_fleet(builder.fleet);
    replica values;
    REQUIRE(values.apply_stored("fleet", fleet_bytes, 1) == apply_result::applied);
    const auto read_heartbeat = [](std::string_view bytes) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_AUTO(message, decode_archive<heartbeat>(bytes));
                (void)message;
                return true;
            },
            [] { return false; });
    };
    for (int i = 0; i < mutation_count; ++i) {
        REQUIRE_FALSE(unseal(key, message_kind::heartbeat,
                             mutate(seal(key, message_kind::heartbeat, body), random) + "x")
                          .has_value());
        // A peer that has the key but a faulty encoder must not cause a crash, whatever its messages decode
        // to.
        (void)read_heartbeat(mutate(body, random));
        const std::string changed = mutate(fleet_bytes, random);
        (void)values.apply_stored("fleet", changed, 2);
        (void)values.apply_transfer({"fleet", 9, 3, true, changed});
        (void)values.apply_stored("jobs/p", changed, 2);
        milliseconds lease{0};
        findings problems;
        (void)decode_task_calls(
            mutate(encode_task_calls({{"j", 1, task_order::run, "k", 5, {}}}, 10s), random), lease, problems);
        (void)decode_worker_answer(
            mutate(encode_worker_answer({1, {{"j", 1, task_state::done, {}}}}), random), problems);
    }
    CHECK(read_heartbeat(body));
}

TEST_CASE("the HTTP server still answers after malformed, truncated and slow requests") {
    random_source random(14);
    event_loop loop;
    int answered = 0;
    http_server_limits limits;
    limits.max_body = 4096;
    limits.max_headers = 2048;
    limits.receive_timeout = 1s;
    http_server server(loop, limits, [&](const std::shared_ptr<server_request>& from) {
        ++answered;
        from->reply(200, {}, from->body());
    });
    REQUIRE(server.listen({"127.0.0.1", 0}));
    const std::string valid_request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
    frame_client malformed_client(loop);
    for (int round = 0; round < 60; ++round) {
        int ended = 0;
        for (int i = 0; i < 20; ++i) {
            // The frame client sends a length prefix, which can make the request line invalid as well.
            malformed_client.send({"127.0.0.1", server.port()}, mutate(valid_request, random), 150ms,
                                  [&](stream_status, std::string_view) { ++ended; });
        }
        REQUIRE(loop_until(loop, [&] { return ended == 20; }));
    }
    http_client client(loop);
    http_call call;
    call.to = {"127.0.0.1", server.port()};
    call.method = "POST";
    call.timeout = 20s;
    call.body = "still here";
    std::string body;
    client.send(call, [&](const http_answer& answer) { body = answer.body; });
    REQUIRE(loop_until(loop, [&] { return !body.empty(); }));
    CHECK(body == "still here");
    int refused = 0;
    call.body = std::string(10'000, 'x');
    client.send(call, [&](const http_answer& answer) { refused = answer.code == 200 ? -1 : 1; });
    REQUIRE(loop_until(loop, [&] { return refused != 0; }));
    CHECK(refused == 1);
}

TEST_CASE("a peer limits the frame size and rejects senders without the key") {
    event_loop loop;
    int received_heartbeats = 0;
    peer_task keyed_peer(loop, "a shared key of at least thirty-two characters",
                         {[&](const heartbeat&) { ++received_heartbeats; },
                          [](const value_request&) { return value_reply{}; }});
    std::uint16_t port = 0;
    {
        http_server port_probe(loop, {}, [](const std::shared_ptr<server_request>&) {});
        REQUIRE(port_probe.listen({"127.0.0.1", 0}));
        port = port_probe.port();
    }
    REQUIRE(keyed_peer.listen({"127.0.0.1", port}));
    peer_task foreign_peer(loop, "another key of at least thirty-two characters.", {});
    bool ended = false;
    bool answered = true;
    foreign_peer.pull({"x", {}}, {"127.0.0.1", port}, [&](const std::optional<value_reply>& reply) {
        ended = true;
        answered = reply.has_value();
    });
    REQUIRE(loop_until(loop, [&] { return ended; }));
    CHECK_FALSE(answered);
    CHECK(keyed_peer.usage().refused == 1);
    frame_client raw_client(loop);
    int failed = 0;
    raw_client.send(
        {"127.0.0.1", port}, std::string(max_frame_bytes + 1, 'x'), 20s,
        [&](stream_status status, std::string_view) { failed = status == stream_status::answered ? -1 : 1; });
    REQUIRE(loop_until(loop, [&] { return failed != 0; }));
    CHECK(failed == 1);
    CHECK(received_heartbeats == 0);
}

TEST_CASE("mutated platform records are refused or decode to values within their limits") {
    random_source random(31);
    const std::string configuration =
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","max_attempts":3,
        "stretch_factor":2.2,"target_latency_ms":2500,"advice":{"decision_ms":5}}],"services":[{"name":"s"}],
        "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":9,"max_count":{"cpu":8000,"mem_mb":512,"gpu":0}}],
        "limits":{"max_body_bytes":262144}})";
    const std::string vm =
        R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","state":"ready","machine":"m","capacity":
        {"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"clock_ms":482113})";
    const std::string wave = R"({"wave":1,"machines":["m-1","m-2"],"duration_s":20,"max_count":1})";
    for (int i = 0; i < mutation_count; ++i) {
        findings configuration_problems;
        if (const auto read =
                platform::decode_configuration(mutate(configuration, random), configuration_problems)) {
            for (const jobs::queue_settings& queue : read->queues) {
                REQUIRE(queue.max_attempts >= 1);
                REQUIRE(queue.stretch_factor >= 1);
            }
            for (const jobs::client_account& account : read->accounts.all()) {
                REQUIRE(!account.name.empty());
                REQUIRE(account.weight >= 0);
                REQUIRE(account.limit.cpu_millicores > 0);
                REQUIRE(account.limit.memory_mb > 0);
                REQUIRE(account.limit.accelerators > 0);
            }
        }
        findings problems;
        if (const auto read = platform::decode_vm("servers/i-1", mutate(vm, random), problems)) {
            REQUIRE(read->incarnation == "i-1");
            REQUIRE(!read->address.empty());
            REQUIRE(read->port > 0);
            REQUIRE(!read->pool.empty());
            REQUIRE(!read->machine.empty());
            REQUIRE(read->capacity.cpu_millicores > 0);
            REQUIRE(read->capacity.memory_mb > 0);
            REQUIRE(read->capacity.accelerators >= 0);
            REQUIRE(problems.empty());
        } else {
            REQUIRE_FALSE(problems.empty());
        }
        if (const auto read = platform::decode_wave(mutate(wave, random))) {
            REQUIRE(read->max_concurrent >= 1);
            REQUIRE(read->number >= 0);
            REQUIRE(read->duration >= 0ms);
        }
        static_cast<void>(platform::decode_task(mutate("5c0e7a21d94b36f8.0.1.17", random)));
    }
}

TEST_CASE("mutated jobs are refused with findings or can be scheduled") {
    random_source random(32);
    const std::string body =
        R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1"},
        {"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpointed":true}],
        "repeat_count":2,"start_at_ms":1,"period_ms":1000})";
    int refused = 0;
    for (int i = 0; i < mutation_count; ++i) {
        findings problems;
        const jobs::job_spec spec =
            platform::decode_job(mutate(body, random), "5c0e7a21d94b36f8", "q", problems);
        if (!problems.empty()) {
            ++refused;
            continue;
        }
        jobs::job_state job(spec, timestamp(0));
        std::uint64_t tasks = 0;
        job.for_each_step([&](jobs::step_position place) { tasks += job.unfinished_tasks(place); });
        REQUIRE(tasks > 0);
        REQUIRE(tasks <= jobs::max_tasks_per_job);
        REQUIRE(job.total_idle_tasks() == tasks);
    }
    CHECK(refused > mutation_count / 4);
}

TEST_CASE(
    "mutated job and owner records from the store, and mutated peer requests, are refused or harmless") {
    random_source random(33);
    jobs::job_record record;
    record.spec.id = "5c0e7a21d94b36f8";
    record.spec.steps.resize(2);
    jobs::job_progress progress;
    progress.done = "0110";
    progress.checkpoints[2] = "c";
    node::peer_request request;
    request.pool = "p";
    request.vms_to_empty = {"a", "b"};
    for (int i = 0; i < mutation_count; ++i) {
        static_cast<void>(decode_archive<jobs::job_record>(mutate(encode_archive(record), random)));
        static_cast<void>(decode_archive<node::peer_request>(mutate(encode_archive(request), random)));
        static_cast<void>(
            decode_archive<node::owner_record>(mutate(encode_archive(node::owner_record{}), random)));
        if (const auto read = decode_archive<jobs::job_progress>(mutate(encode_archive(progress), random))) {
            jobs::job_state job(record.spec, timestamp(0));
            job.restore(read.value());
            REQUIRE(job.total_idle_tasks() <= 2);
        }
    }
}

TEST_CASE("mutated settings of a node are refused with findings or are valid") {
    random_source random(34);
    const std::string text =
        R"({"id":"n","availability_zone":"z","clients":"10.1.0.9:8624","readiness":"10.1.0.9:8622","address":"10.1.0.9",
        "peer_port":7060,"metrics_port":9464,"store":"10.200.1.7:8621","machines":"10.200.0.107:8621","advice":null,
        "vm_lease_ms":6000,"order_quiet_ms":3000,"grace_s":6,"keep_ended_s":120,"upkeep_s":2,"move_s":1.5,
        "machine_orders_per_s":64.0,"stop_ms":900,"link_mbps":20.0})";
    findings no_problems;
    static_cast<void>(node::parse_node_settings(parse_json(text, "", no_problems), no_problems));
    REQUIRE(no_problems.empty());
    for (int i = 0; i < mutation_count; ++i) {
        findings problems;
        const boost::json::value document = parse_json(mutate(text, random), "", problems);
        if (!problems.empty()) {
            continue;
        }
        const node::node_settings settings = node::parse_node_settings(document, problems);
        if (problems.empty()) {
            REQUIRE(settings.store.port > 0);
            REQUIRE(settings.vm_lease >= 1s);
        }
    }
}
