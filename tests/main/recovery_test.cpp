#include <doctest/doctest.h>

#include "main/deployment.hpp"

using namespace siskinpaddle;
using siskinpaddle::tests::deployment;
using siskinpaddle::tests::field;

TEST_CASE("a wave interrupts no request, and every VM returns to service") {
    // Guards against rebooting a VM while a request runs on it: a long request is in progress on the VM that
    // is drained. The reboot must wait for the request's end, and no new request may be sent to the VM.
    deployment d;
    d.start_default();
    std::shared_ptr<server_request> held_request;
    std::string held_by_vm;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&, name = id](const std::shared_ptr<server_request>& from) {
            if (held_request == nullptr && from->target() == "/k/long") {
                held_request = from;
                held_by_vm = name;
                return;
            }
            from->reply(200, {}, name);
        };
    }
    http_answer long_answer;
    d.send(d.settings("e1").callers, "GET", "/k/long", "", {{"Deadline-Ms", "60000"}},
           [&](const http_answer& answer) { long_answer = answer; });
    REQUIRE(d.run_until([&] { return held_request != nullptr; }));
    REQUIRE(d.patch("e1", 1, "w", R"({"waves":{"w":{"pool":"k","order":1}}})").code == 200);
    REQUIRE(d.run_until([&] { return d.fleet().find_vm(held_by_vm)->state == vm_state::draining; }));
    for (int i = 0; i < 20; ++i) {
        const http_answer answer = d.send_and_wait(d.settings("e1").callers, "GET", "/k/short");
        REQUIRE(answer.code == 200);
        REQUIRE(answer.body != held_by_vm);
    }
    REQUIRE(d.fleet().find_vm(held_by_vm)->state == vm_state::draining);
    // The planner reports the reason after its next step, and any entry returns it.
    REQUIRE(d.run_until([&] {
        return d.send_operator_request("e2", "GET", "/v1/status")
                   .body.find("requests in progress at entries: e1") != std::string::npos;
    }));
    REQUIRE(d.fleet().find_vm(held_by_vm)->state == vm_state::draining);
    held_request->reply(200, {}, "the long answer");
    held_request.reset();
    REQUIRE(d.run_until([&] {
        int done = 0;
        for (const vm_record& vm : d.fleet().vms) {
            done += vm.pool == "k" && vm.completed_wave == 1 && vm.state == vm_state::serving ? 1 : 0;
        }
        return done == 2;
    }));
    CHECK(long_answer.code == 200);
    CHECK(long_answer.body == "the long answer");
}

TEST_CASE("a killed entry is detected by its refused port and removed from the fleet record") {
    // Waves wait for every registered entry, so an ended entry that stays registered would block them.
    deployment d;
    d.start_default();
    d.kill_entry("e2");
    REQUIRE(d.run_until([&] { return d.fleet().entries.size() == 1; }));
    CHECK(d.fleet().entries.front().id == "e1");
}

TEST_CASE("a restarted entry reuses its registration with a higher incarnation") {
    deployment d;
    d.start_default();
    const std::uint64_t before = d.fleet().find_entry("e2")->incarnation;
    d.kill_entry("e2");
    d.add_entry("e2", "b");
    REQUIRE(d.run_until([&] { return d.is_up_to_date("e2"); }));
    CHECK(d.fleet().find_entry("e2")->incarnation > before);
    CHECK(d.fleet().entries.size() == 2);
}

TEST_CASE("another entry takes the control lease over when its holder is killed") {
    deployment d;
    d.start_default();
    const std::string planner = d.fleet().planner;
    const std::string other = planner == "e1" ? "e2" : "e1";
    d.kill_entry(planner);
    REQUIRE(d.run_until([&] { return d.fleet().planner == other; }));
    REQUIRE(d.patch(other, 1, "w", R"({"waves":{"w":{"pool":"k","order":1}}})").code == 200);
    REQUIRE(d.run_until([&] {
        int done = 0;
        for (const vm_record& vm : d.fleet().vms) {
            done += vm.completed_wave == 1 && vm.state == vm_state::serving ? 1 : 0;
        }
        return done == 2;
    }));
}

TEST_CASE(
    "an entry that is partitioned from the platform and its peers delays a wave and still serves callers") {
    // Guards against rebooting a VM that a partitioned entry still uses: e2 reaches its targets, but neither
    // the platform nor its peers. The wave waits for e2, which serves its callers with its last known state.
    deployment d;
    d.start_default();
    if (d.fleet().planner == "e2") {
        d.kill_entry("e2");
        REQUIRE(d.run_until([&] { return d.fleet().planner == "e1"; }));
        d.add_entry("e2", "b");
        REQUIRE(d.run_until([&] { return d.is_up_to_date("e2"); }));
    }
    d.platform.set_fault("e2", fakes::injected_fault::unresponsive);
    d.entries.at("e2")->set_partitioned(true);
    REQUIRE(d.patch("e1", 1, "w", R"({"waves":{"w":{"pool":"k","order":1}}})").code == 200);
    REQUIRE(d.run_until([&] {
        return d.send_operator_request("e1", "GET", "/v1/status")
                   .body.find("entries not at fleet revision") != std::string::npos;
    }));
    for (int i = 0; i < 10; ++i) {
        REQUIRE(d.send_and_wait(d.settings("e2").callers, "GET", "/k/fare").code == 200);
    }
    for (const vm_record& vm : d.fleet().vms) {
        CHECK(vm.state != vm_state::in_maintenance);
    }
    d.entries.at("e2")->set_partitioned(false);
    d.platform.set_fault("e2", fakes::injected_fault::none);
    REQUIRE(d.run_until([&] {
        int done = 0;
        for (const vm_record& vm : d.fleet().vms) {
            done += vm.completed_wave == 1 && vm.state == vm_state::serving ? 1 : 0;
        }
        return done == 2;
    }));
}

TEST_CASE("an entry that is partitioned from the platform receives a patch through its peers") {
    deployment d;
    d.start_default();
    d.platform.set_fault("e2", fakes::injected_fault::unresponsive);
    REQUIRE(d.patch("e1", 1, "p", R"({"pools":{"k":{"max_queue":7}}})").code == 200);
    REQUIRE(d.run_until(
        [&] { return field(d.send_operator_request("e2", "GET", "/v1/config"), "number") == "2"; }));
}

TEST_CASE("a graceful stop completes requests in progress and removes the entry from the fleet record") {
    deployment d;
    d.start_default();
    std::shared_ptr<server_request> held_request;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&](const std::shared_ptr<server_request>& from) { held_request = from; };
    }
    http_answer answer;
    d.send(d.settings("e2").callers, "POST", "/h/seat", "", {{"Deadline-Ms", "60000"}},
           [&](const http_answer& received) { answer = received; });
    REQUIRE(d.run_until([&] { return held_request != nullptr; }));
    bool stopped = false;
    d.entries.at("e2")->drain([&] { stopped = true; });
    int iterations = 0;
    REQUIRE(d.run_until([&] { return ++iterations > 200; }));
    CHECK_FALSE(stopped);
    CHECK(d.fleet().find_entry("e2") != nullptr);
    held_request->reply(200, {}, "confirmed");
    held_request.reset();
    REQUIRE(d.run_until([&] { return stopped; }));
    CHECK(answer.code == 200);
    CHECK(answer.body == "confirmed");
    CHECK(d.fleet().find_entry("e2") == nullptr);
}

TEST_CASE("a planner's write whose answer is lost is applied once") {
    // Guards against a second cordon: the write of a cordon is stored, but its answer is lost. The planner
    // must find its own write, and neither cordon another VM nor undo the first cordon.
    deployment d;
    d.start_default();
    const std::string planner = d.fleet().planner;
    REQUIRE(d.patch("e1", 1, "w", R"({"waves":{"w":{"pool":"k","order":1}}})").code == 200);
    for (int i = 0; i < 6; ++i) {
        d.platform.set_fault(planner, fakes::injected_fault::lose_answer, 0ms, 1);
        const std::uint64_t revision = d.fleet().revision;
        REQUIRE(d.run_until([&] { return d.fleet().revision > revision; }));
        int not_serving = 0;
        for (const vm_record& vm : d.fleet().vms) {
            not_serving += vm.pool == "k" && vm.state != vm_state::serving ? 1 : 0;
        }
        REQUIRE(not_serving <= 1);
    }
    d.platform.set_fault(planner, fakes::injected_fault::none);
    REQUIRE(d.run_until([&] {
        return d.count_serving("k") == 2 && d.fleet().find_vm("w1")->completed_wave +
                                                    d.fleet().find_vm("w2")->completed_wave +
                                                    d.fleet().find_vm("w3")->completed_wave ==
                                                2;
    }));
}

TEST_CASE("the pool of a killed VM gets a free VM, and the killed VM's jobs restart on another VM") {
    deployment d;
    d.start_default();
    d.add_vm("w4");
    REQUIRE(d.run_until(
        [&] { return d.fleet().vms.size() == 4 && d.fleet().find_vm("w4")->state == vm_state::free; }));
    const std::string job =
        R"({"pool":"h","id":"sweep","team":"t","urgency":"patient","cpu_millicores":1000,"memory_mb":10,"expected_ms":600000})";
    REQUIRE(d.send_operator_request("e1", "POST", "/v1/jobs", job).code == 200);
    REQUIRE(d.run_until([&] { return d.jobs("h").find("sweep")->state == job_state::running; }));
    const std::string vm = d.jobs("h").find("sweep")->vm;
    d.vms.erase(vm);
    REQUIRE(d.run_until(
        [&] { return d.count_serving("h") == 1 && d.fleet().find_vm(vm)->state == vm_state::lost; }));
    REQUIRE(d.run_until([&] {
        return d.jobs("h").find("sweep")->state == job_state::running && d.jobs("h").find("sweep")->vm != vm;
    }));
    CHECK(d.jobs("h").find("sweep")->epoch == 2);
}

TEST_CASE("all entries become ready after a simultaneous restart while the platform is slow") {
    deployment d;
    d.start_default();
    d.platform.set_fault("", fakes::injected_fault::slow, 150ms);
    for (const char* id : {"e1", "e2"}) {
        d.kill_entry(id);
    }
    d.add_entry("e1");
    d.add_entry("e2", "b");
    REQUIRE(d.run_until([&] { return d.is_up_to_date("e1") && d.is_up_to_date("e2"); }));
    CHECK(d.fleet().entries.size() == 2);
    CHECK(d.send_and_wait(d.settings("e1").callers, "GET", "/k/fare").code == 200);
}
