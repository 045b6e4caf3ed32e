#include "platform/platform.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::platform;

TEST_CASE("task names go there and back, and nothing else is one") {
    const jobs::task_id task{"5c0e7a21d94b36f8", 2, 1, 17};
    CHECK(encode_task(task) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(decode_task(encode_task(task)) == task);
    for (const char* text : {"", "x", "x.1.2", "x.1.2.3.4", "x.1.2.y", ".1.2.3", "x.-1.2.3", "x.1.2."}) {
        INFO(text);
        CHECK_FALSE(decode_task(text).has_value());
    }
}

TEST_CASE("a registration's fields end up where they belong") {
    const auto vm =
        decode_vm("servers/i-7", R"({"service":"s","address":"10.128.0.9:8080","zone":"z1","state":"draining",
        "remaining_ms":1500,"machine":"m-1","capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},"labels":["a","r1-3"]})");
    REQUIRE(vm.has_value());
    CHECK(vm->incarnation == "i-7");
    CHECK(vm->pool == "s");
    CHECK(vm->address == "10.128.0.9");
    CHECK(vm->port == 8080);
    CHECK(vm->kind == "a");
    CHECK(vm->rack == "r1-3");
    CHECK(vm->capacity == jobs::resources{16000, 32768, 2});
    CHECK(vm->draining);
    CHECK(vm->remaining_ms == 1500);
    CHECK_FALSE(decode_vm("servers/i-7", R"({"service":"s"})").has_value());
}

TEST_CASE("fields that are left out read as zero, false or empty") {
    findings problems;
    const jobs::job_spec spec =
        decode_job(R"({"spec":"x","phases":[{"count":3,"cpu":500},{"count":1,"after":[0],"gang":true}]})",
                   "i", "q", problems);
    REQUIRE(problems.empty());
    CHECK(spec.steps[0].need == jobs::resources{500, 0, 0});
    CHECK_FALSE(spec.steps[0].gang);
    CHECK(spec.steps[1].gang);
    CHECK(spec.steps[1].after == std::vector<std::uint32_t>{0});
    CHECK_FALSE(spec.timed);
    CHECK(spec.occurrences == 1);
}

TEST_CASE("a job that can't be scheduled is refused with the place of each problem") {
    struct bad_job {
        const char* body;
        const char* place;
    };
    for (const bad_job& item :
         {bad_job{R"({"phases":[]})", "/steps"}, bad_job{R"({"phases":[{"cpu":1}]})", "/steps/0/count"},
          bad_job{R"({"phases":[{"count":1,"after":[0]}]})", "/steps/0/after"},
          bad_job{R"({"phases":[{"count":100000}]})", "/steps"}, bad_job{R"([1])", "/"}}) {
        INFO(item.body);
        findings problems;
        static_cast<void>(decode_job(item.body, "i", "q", problems));
        REQUIRE_FALSE(problems.empty());
        CHECK(problems.items().front().place == item.place);
    }
}

TEST_CASE("the longest matching prefix under the right host names the queue") {
    const auto configuration = decode_configuration(
        R"({"version":3,"routes":[{"name":"a","host":"h","prefix":"/x/","service":"s"},
        {"name":"b","host":"h","prefix":"/x/y/","service":"s"},{"name":"c","host":"g","prefix":"/x/","service":"t"}],
        "services":[{"name":"s"},{"name":"t","headroom":true}]})");
    REQUIRE(configuration.has_value());
    CHECK(configuration->match("h", "/x/y/1")->name == "b");
    CHECK(configuration->match("h", "/x/z")->name == "a");
    CHECK(configuration->match("g", "/x/y/1")->name == "c");
    CHECK(configuration->match("other", "/x/1") == nullptr);
    CHECK(configuration->pool("t")->spare);
    CHECK(configuration->working_pools() == std::vector<std::string>{"s", "t"});
}

TEST_CASE("a wave and its state") {
    const auto wave = decode_wave(R"({"wave":4,"machines":["m-1","m-2"],"duration_s":2.5,"max_count":3})");
    REQUIRE(wave.has_value());
    CHECK(wave->machines.size() == 2);
    CHECK(wave->duration == 2500ms);
    CHECK(wave->at_once == 3);
    CHECK(encode_wave_status(true) == R"({"state":"completed"})");
    CHECK(wave_status_key(4) == "status/wave/4");
}

TEST_CASE("what stand-ins encode is decoded to the same") {
    jobs::vm_info vm;
    vm.incarnation = "i-7";
    vm.machine = "m-1";
    vm.pool = "p";
    vm.address = "10.0.0.9";
    vm.port = 8080;
    vm.availability_zone = "z1";
    vm.kind = "a";
    vm.rack = "r1";
    vm.capacity = {4000, 8192, 2};
    vm.draining = true;
    vm.remaining_ms = 1200;
    CHECK(decode_vm(vm_key("i-7"), encode_vm(vm)) == vm);

    jobs::fleet_configuration configuration;
    configuration.version = 9;
    configuration.queues.resize(1);
    configuration.queues[0].name = "quotes";
    configuration.queues[0].host = "h";
    configuration.queues[0].prefix = "/q/";
    configuration.queues[0].pool = "p";
    configuration.queues[0].priority = 1;
    configuration.queues[0].max_attempts = 3;
    configuration.queues[0].stretch_factor = 1.5;
    configuration.queues[0].target_latency = 600ms;
    configuration.queues[0].advice = jobs::advice_settings{20ms, 2ms, 5s};
    configuration.pools = {{"p", false}, {"spare", true}};
    configuration.max_body_bytes = 1024;
    const auto decoded = decode_configuration(encode_configuration(configuration));
    REQUIRE(decoded);
    CHECK(encode_configuration(*decoded) == encode_configuration(configuration));
    CHECK(decoded->queues[0].advice->valid == 5s);
    CHECK(decoded->pools[1].spare);

    jobs::job_spec job;
    job.payload = "s";
    job.steps.resize(2);
    job.steps[0].count = 3;
    job.steps[0].need = {500, 64, 1};
    job.steps[0].estimate_ms = 700;
    job.steps[0].max_per_vm = 2;
    job.steps[1].after = {0};
    job.steps[1].endless = true;
    job.steps[1].disruption_budget = 1;
    job.timed = true;
    job.occurrences = 2;
    job.start_at_ms = 5;
    job.period_ms = 7;
    findings problems;
    const jobs::job_spec again = decode_job(encode_job(job), "", "", problems);
    CHECK(problems.empty());
    CHECK(encode_job(again) == encode_job(job));
    CHECK(again.steps[1].disruption_budget == 1);
    CHECK(again.occurrences == 2);
}
