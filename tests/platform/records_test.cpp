#include "platform/json_reading.hpp"
#include "platform/platform.hpp"

#include <array>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

using namespace siskinpaddle;
using namespace siskinpaddle::platform;

TEST_CASE("task names are encoded and decoded, and other texts are refused") {
    const jobs::task_id task{"5c0e7a21d94b36f8", 2, 1, 17};
    CHECK(encode_task(task) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(decode_task(encode_task(task)) == task);
    for (const char* text : {"", "x", "x.1.2", "x.1.2.3.4", "x.1.2.y", ".1.2.3", "x.-1.2.3", "x.1.2."}) {
        INFO(text);
        CHECK_FALSE(decode_task(text).has_value());
    }
}

namespace {

/// Returns a valid registration in which `field` is set to the JSON text `value`, or omitted if `value` is
/// empty. A dot in `field` selects a field of a nested object.
std::string make_registration(const std::string& field = {}, const std::string& value = {}) {
    boost::json::value document = boost::json::parse(
        R"({"service":"s","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":8,"state":"draining",
        "cold_left_ms":120,"remaining_ms":1500,"machine":"m-1","capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},
        "labels":["a","r1-3"],"clock_ms":482113,"seq":4})");
    if (field.empty()) {
        return boost::json::serialize(document);
    }
    boost::json::object* object = &document.get_object();
    const std::size_t dot = field.find('.');
    if (dot != std::string::npos) {
        object = &object->at(field.substr(0, dot)).get_object();
    }
    const std::string name = dot == std::string::npos ? field : field.substr(dot + 1);
    object->erase(name);
    if (!value.empty()) {
        object->emplace(name, boost::json::parse(value));
    }
    return boost::json::serialize(document);
}

std::optional<jobs::vm_info> decode_registration(const std::string& text,
                                                 const std::string& key = "servers/i-7") {
    findings problems;
    auto info = decode_vm(key, text, problems);
    CHECK(info.has_value() == problems.empty());
    return info;
}

} // namespace

TEST_CASE("the fields of a registration are decoded") {
    const auto vm = decode_registration(make_registration());
    REQUIRE(vm.has_value());
    CHECK(vm->incarnation == "i-7");
    CHECK(vm->machine == "m-1");
    CHECK(vm->pool == "s");
    CHECK(vm->availability_zone == "z1");
    CHECK(vm->address == "10.128.0.9");
    CHECK(vm->port == 8080);
    CHECK(vm->kind == "a");
    CHECK(vm->rack == "r1-3");
    CHECK(vm->capacity == jobs::resources{16000, 32768, 2});
    CHECK(vm->draining);
    CHECK(vm->remaining_ms == 1500);
    CHECK_FALSE(decode_registration(make_registration("state", R"("ready")"))->draining);
    CHECK(decode_registration(make_registration("remaining_ms"))->remaining_ms == -1);
}

TEST_CASE("a registration without zero counts, or with unknown fields, is valid") {
    for (const std::string field :
         {"slots", "cold_left_ms", "remaining_ms", "clock_ms", "seq", "capacity.gpu"}) {
        INFO(field);
        CHECK(decode_registration(make_registration(field)).has_value());
        CHECK(decode_registration(make_registration(field, "0")).has_value());
        // A writer may store integers as floating-point.
        CHECK(decode_registration(make_registration(field, "120.0")).has_value());
    }
    CHECK(decode_registration(make_registration("speed", R"({"new":[1]})")).has_value());
    CHECK(decode_registration(make_registration("labels", R"(["a","r1-3","later"])")).has_value());
}

// Guards against two starts of a VM that count as one, since both register under the VM's id.
TEST_CASE("a registration names the start of its VM") {
    CHECK(decode_registration(make_registration("born", "1700000000000"))->incarnation ==
          "i-7/1700000000000");
    CHECK(decode_registration(make_registration("born", "1700000000000.0"))->incarnation ==
          "i-7/1700000000000");
    CHECK(decode_registration(make_registration("born", "0"))->incarnation == "i-7");
    for (const char* value : {"null", R"("1700000000000")", "true", "-1", "1.5", "[7]", "1e300"}) {
        INFO(std::string(value));
        findings problems;
        CHECK_FALSE(decode_vm("servers/i-7", make_registration("born", value), problems).has_value());
        REQUIRE(problems.items().size() == 1);
        CHECK(problems.items().front().location == "/born");
        CHECK(problems.items().front().message == "must be a whole number from 0 to 9007199254740992");
    }
}

TEST_CASE("an incomplete or malformed registration is refused") {
    // Guards against jobs that wait on a VM that doesn't exist: another program writes a value under the VMs'
    // prefix with a missing field, a wrong type, an unknown state or a number out of bounds. Read with empty
    // values in place of the invalid ones, it counts as a VM with free capacity.
    struct bad_field {
        std::string field;
        std::vector<std::string> values; ///< JSON texts; an empty one omits the field.
    };
    const std::vector<std::string> invalid_texts{"", "null", "7", "true", R"([])", R"({})", R"("")"};
    const std::vector<std::string> invalid_counts{"null", R"("7")", "true",  "-1",
                                                  "1.5",  R"([7])", "1e300", "18446744073709551615"};
    const std::vector<std::string> invalid_sizes{"",   "null", R"("7")", "true",   "0",
                                                 "-1", "1.5",  "1e300",  R"([7])", "9223372036854775807"};
    for (const bad_field& item : {
             bad_field{"service", invalid_texts},
             bad_field{"machine", invalid_texts},
             bad_field{"zone", invalid_texts},
             bad_field{"version", invalid_texts},
             bad_field{"state", invalid_texts},
             bad_field{"state", {R"("Ready")", R"("starting")", R"("ready ")"}},
             bad_field{"address", invalid_texts},
             bad_field{"address",
                       {R"("10.1.0.9")", R"("10.1.0.9:")", R"(":8080")", R"("10.1.0.9:0")",
                        R"("10.1.0.9:65536")", R"("10.1.0.9:-1")", R"("10.1.0.9:80x")", R"("10.1.0.9: 80")",
                        R"("10.1.0:8080")", R"("vm.example:8080")", R"("10.1.0.9\r\n:8080")"}},
             bad_field{"capacity", {"", "null", "7", R"("16000")", "[16000,32768,2]", "{}"}},
             bad_field{"capacity.cpu", invalid_sizes},
             bad_field{"capacity.mem_mb", invalid_sizes},
             bad_field{"capacity.gpu", invalid_counts},
             bad_field{"labels", {"", "null", R"("a")", "{}", "[]", R"(["a"])", R"([1,2])", R"(["a",null])"}},
             bad_field{"slots", invalid_counts},
             bad_field{"cold_left_ms", invalid_counts},
             bad_field{"remaining_ms", invalid_counts},
             bad_field{"clock_ms", invalid_counts},
             bad_field{"seq", invalid_counts},
         }) {
        for (const std::string& value : item.values) {
            INFO(item.field << " = " << value);
            CHECK_FALSE(decode_registration(make_registration(item.field, value)).has_value());
        }
    }
}

TEST_CASE("a registration that can't be parsed, or whose key contains no VM incarnation, is refused") {
    // Guards against a crash of every node, one after another, and against calls that reach the wrong VM: a
    // value holds arbitrary bytes, or its key holds characters that are invalid in the incarnation header.
    for (const std::string& text :
         {std::string(), std::string("\0\xff\xfe", 3), std::string("null"), std::string("[]"),
          std::string("7"), std::string("{"), make_registration() + "x", std::string(100'000, '['),
          make_registration().substr(0, 60), make_registration("zone", "\"z\"").insert(12, "\xc3\x28")}) {
        INFO(text.substr(0, 80));
        CHECK_FALSE(decode_registration(text).has_value());
    }
    for (const std::string key : {"", "servers", "servers/", "op/config", "servers/i 7",
                                  "servers/i-7\r\nX: y", "servers/i/7", "servers/\xc3\xa9"}) {
        INFO(key);
        CHECK_FALSE(decode_registration(make_registration(), key).has_value());
    }
}

TEST_CASE("omitted fields read as zero, false or empty") {
    findings problems;
    const jobs::job_spec spec =
        decode_job(R"({"spec":"x","phases":[{"count":3,"cpu":500},{"count":1,"after":[0],"gang":true}]})",
                   "i", "q", problems);
    REQUIRE(problems.empty());
    CHECK(spec.steps[0].need == jobs::resources{500, 0, 0});
    CHECK_FALSE(spec.steps[0].gang);
    CHECK(spec.steps[1].gang);
    CHECK(spec.steps[1].after == std::vector<std::uint32_t>{0});
    CHECK_FALSE(spec.has_due_times);
    CHECK(spec.occurrences == 1);
}

TEST_CASE("an invalid job is refused with the location of each problem") {
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
        CHECK(problems.items().front().location == item.place);
    }
}

TEST_CASE("a call matches the queue with the longest prefix under its host") {
    findings problems;
    const auto configuration = decode_configuration(
        R"({"version":3,"routes":[{"name":"a","host":"h","prefix":"/x/","service":"s"},
        {"name":"b","host":"h","prefix":"/x/y/","service":"s"},{"name":"c","host":"g","prefix":"/x/","service":"t"}],
        "services":[{"name":"s"},{"name":"t","headroom":true}]})",
        problems);
    REQUIRE(configuration.has_value());
    CHECK(configuration->match_queue("h", "/x/y/1")->name == "b");
    CHECK(configuration->match_queue("h", "/x/z")->name == "a");
    CHECK(configuration->match_queue("g", "/x/y/1")->name == "c");
    CHECK(configuration->match_queue("other", "/x/1") == nullptr);
    CHECK(configuration->find_pool("t")->is_spare);
    CHECK(configuration->pools_with_queues() == std::vector<std::string>{"s", "t"});
}

TEST_CASE("a partly unreadable configuration or wave is refused") {
    // Guards against calls to a configured queue that are answered with 404, and against maintenance of all
    // machines at once: damaged fields of a value that the operator wrote are read as empty, and the other
    // fields come into force.
    for (const std::string text :
         {"", "[]", "{", R"({"routes":[]})", R"({"version":3})", R"({"version":"3","routes":[]})",
          R"({"version":0,"routes":[]})", R"({"version":1e300,"routes":[]})", R"({"version":3,"routes":{}})",
          R"({"version":3,"routes":[7]})", R"({"version":3,"routes":[],"services":"s"})",
          R"({"version":3,"routes":[],"services":["s"]})"}) {
        INFO(text);
        findings problems;
        CHECK_FALSE(decode_configuration(text, problems).has_value());
        CHECK_FALSE(problems.empty());
    }
    for (const std::string text :
         {"", "[]", "{", R"({"machines":["m"],"duration_s":2})",
          R"({"wave":"4","machines":["m"],"duration_s":2})", R"({"wave":-1,"machines":["m"],"duration_s":2})",
          R"({"wave":4,"machines":"m","duration_s":2})", R"({"wave":4,"machines":[7],"duration_s":2})",
          R"({"wave":4,"machines":["m"],"duration_s":"2"})",
          R"({"wave":4,"machines":["m"],"duration_s":1e300})",
          R"({"wave":4,"machines":["m"],"duration_s":2,"max_count":"all"})"}) {
        INFO(text);
        CHECK_FALSE(decode_wave(text).has_value());
    }
}

// Guards against a reader that ends the process, or reads past one entry, at a hostile value.
TEST_CASE("each reader of the store's entries refuses what is nested deeply or has numbers too large") {
    struct reader {
        const char* name = "";
        bool (*accepts)(const std::string&) = nullptr;
        std::string good; ///< Ends with '}'.
    };
    const std::string vm =
        R"({"service":"p","address":"10.0.0.1:80","zone":"z","version":"v","state":"ready",)"
        R"("machine":"m","capacity":{"cpu":1,"mem_mb":1},"labels":["k","r"]})";
    const std::array readers{
        reader{"registration",
               [](const std::string& text) {
                   findings problems;
                   return decode_vm("servers/v1", text, problems).has_value();
               },
               vm},
        reader{"configuration",
               [](const std::string& text) {
                   findings problems;
                   return decode_configuration(text, problems).has_value();
               },
               R"({"version":3,"routes":[],"services":[]})"},
        reader{"wave", [](const std::string& text) { return decode_wave(text).has_value(); },
               R"({"wave":4,"machines":["m"],"duration_s":2})"},
        reader{"answer of the store",
               [](const std::string& text) { return try_parse_object(text).has_value(); },
               R"({"items":[]})"}};
    constexpr std::size_t depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const reader& item : readers) {
        INFO(std::string(item.name));
        CHECK(item.accepts(item.good));
        const auto with_field = [&item](const std::string& value) {
            std::string text = item.good.substr(0, item.good.size() - 1);
            return text.append(",\"x\":").append(value).append("}");
        };
        for (const std::string& text : {nested, std::string(depth, '{'), std::string(depth, '['),
                                        with_field(nested), with_field("1e999999999999")}) {
            CHECK_FALSE(item.accepts(text));
        }
    }
}

TEST_CASE("numbers out of bounds are clamped and don't wrap around") {
    findings problems;
    const auto configuration = decode_configuration(
        R"({"version":3,"routes":[{"name":"a","max_attempts":4294967296,"priority":4294967297}]})", problems);
    REQUIRE(configuration.has_value());
    CHECK(configuration->queues[0].max_attempts >= 1);
    CHECK(configuration->queues[0].priority > 1);
    const jobs::job_spec spec = decode_job(
        R"({"phases":[{"count":1,"max_per_server":4294967296,"may_miss":4294967296}]})", "i", "q", problems);
    CHECK(spec.steps[0].max_per_vm > 0);
    CHECK(spec.steps[0].disruption_budget > 0);
}

TEST_CASE("a wave is decoded and its status is encoded") {
    const auto wave = decode_wave(R"({"wave":4,"machines":["m-1","m-2"],"duration_s":2.5,"max_count":3})");
    REQUIRE(wave.has_value());
    CHECK(wave->machines.size() == 2);
    CHECK(wave->duration == 2500ms);
    CHECK(wave->max_concurrent == 3);
    CHECK(encode_wave_status(true) == R"({"state":"completed"})");
    CHECK(wave_status_key(4) == "status/wave/4");
}

TEST_CASE("encoded records are decoded to the same values") {
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
    CHECK(decode_registration(encode_vm(vm), vm_key("i-7")) == vm);
    vm.incarnation = jobs::make_incarnation("i-7", 1'700'000'000'000);
    CHECK(decode_registration(encode_vm(vm), vm_key("i-7")) == vm);

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
    findings problems;
    const auto decoded_configuration = decode_configuration(encode_configuration(configuration), problems);
    CHECK(problems.empty());
    REQUIRE(decoded_configuration);
    CHECK(encode_configuration(*decoded_configuration) == encode_configuration(configuration));
    CHECK(decoded_configuration->queues[0].advice->ticket_validity == 5s);
    CHECK(decoded_configuration->pools[1].is_spare);

    jobs::job_spec job;
    job.payload = "s";
    job.steps.resize(2);
    job.steps[0].count = 3;
    job.steps[0].need = {500, 64, 1};
    job.steps[0].estimate_ms = 700;
    job.steps[0].max_per_vm = 2;
    job.steps[1].after = {0};
    job.steps[1].long_lived = true;
    job.steps[1].disruption_budget = 1;
    job.has_due_times = true;
    job.occurrences = 2;
    job.start_at_ms = 5;
    job.period_ms = 7;
    const jobs::job_spec decoded_job = decode_job(encode_job(job), "", "", problems);
    CHECK(problems.empty());
    CHECK(encode_job(decoded_job) == encode_job(job));
    CHECK(decoded_job.steps[1].disruption_budget == 1);
    CHECK(decoded_job.occurrences == 2);
}
