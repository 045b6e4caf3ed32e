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
