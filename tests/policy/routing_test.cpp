#include "policy/fleet_builder.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::fleet_builder;

namespace {

struct routing_fixture {
    fleet_builder b;
    target_table targets{"a", routing_policy::two_choices};
    random_source random{1};

    routing_fixture() {
        b.pool("p", 1, 3).entry("e1").vm("w1", "p", "a").vm("w2", "p", "a").vm("w3", "p", "b");
        apply();
    }

    void apply() { targets.apply(b.config, b.fleet, b.now); }

    std::string choose(const std::set<std::string>& tried = {}) {
        const auto choice = targets.choose("p", tried, b.now, random);
        return choice ? choice->vm : "";
    }

    void fail(const std::string& vm, int times) {
        for (int i = 0; i < times; ++i) {
            targets.on_sent(vm);
            targets.on_finished(vm, attempt_result::connect_failed, b.now);
        }
    }
};

} // namespace

TEST_CASE("targets in the own zone are preferred; others are used when these are full or tried") {
    routing_fixture r;
    for (int i = 0; i < 16; ++i) {
        const std::string vm = r.choose();
        CHECK((vm == "w1" || vm == "w2"));
        r.targets.on_sent(vm);
    }
    CHECK(r.targets.in_flight("p") == 16);
    CHECK(r.choose() == "w3");
    CHECK(r.choose({"w1", "w2", "w3"}).empty());
}

TEST_CASE("a leaving target gets no new requests and is reported busy until its last request ends") {
    routing_fixture r;
    r.targets.on_sent("w1");
    const auto choice = r.targets.choose("p", {"w2", "w3"}, r.b.now, r.random);
    REQUIRE(choice.has_value());
    r.b.fleet.find_vm("w1")->state = vm_state::cordoned;
    r.apply();
    for (int i = 0; i < 40; ++i) {
        CHECK(r.choose() != "w1");
    }
    CHECK_FALSE(r.targets.is_still_valid(*choice, "p"));
    CHECK(r.targets.busy_vms() == std::set<std::string>{"w1"});
    r.targets.on_finished("w1", attempt_result::answered, r.b.now);
    CHECK(r.targets.busy_vms().empty());
}

TEST_CASE("a choice made before a VM changed pool is not valid afterwards") {
    // Guards against a request that reaches another member's VM: while the request waits for its claim, the
    // VM is drained, moved to another pool and serves again.
    routing_fixture r;
    const auto choice = r.targets.choose("p", {"w2", "w3"}, r.b.now, r.random);
    vm_record& vm = *r.b.fleet.find_vm("w1");
    vm.pool = "q";
    ++vm.epoch;
    r.apply();
    CHECK_FALSE(r.targets.is_still_valid(*choice, "p"));
    CHECK_FALSE(r.targets.is_still_valid(*choice, "q"));
    // Back in its first pool, the VM runs another instance, so the choice stays invalid.
    vm.pool = "p";
    ++vm.epoch;
    r.apply();
    CHECK_FALSE(r.targets.is_still_valid(*choice, "p"));
}

TEST_CASE("a failing target is quarantined, retried and used again") {
    routing_fixture r;
    r.fail("w1", 3);
    CHECK(r.targets.suspect_vms() == std::set<std::string>{"w1"});
    for (int i = 0; i < 40; ++i) {
        CHECK(r.choose() == "w2");
    }
    r.b.now += 2s;
    r.targets.on_sent("w2");
    CHECK(r.choose({"w2"}) == "w1");
    r.targets.on_sent("w1");
    for (int i = 0; i < 40; ++i) {
        CHECK(r.choose() != "w1"); // After its quarantine it gets one request at a time.
    }
    r.targets.on_finished("w1", attempt_result::answered, r.b.now);
    CHECK(r.targets.suspect_vms().empty());
}

TEST_CASE("quarantine is ignored when most targets fail, so that the others are not overloaded") {
    routing_fixture r;
    r.fail("w1", 3);
    r.fail("w2", 3);
    std::set<std::string> chosen;
    for (int i = 0; i < 60; ++i) {
        chosen.insert(r.choose());
    }
    CHECK(chosen == std::set<std::string>{"w1", "w2"});
}

TEST_CASE("refusals lower an entry's limit for a target; successes at the limit raise it") {
    routing_fixture r;
    const auto limit = [&] { return r.targets.capacity("p", r.b.now); };
    const std::int64_t before = limit();
    r.targets.on_sent("w1");
    r.targets.on_sent("w1");
    r.targets.on_finished("w1", attempt_result::refused_by_target, r.b.now);
    // The refusal shows that other entries use the slots, so the limit drops to the one request in flight.
    CHECK(limit() == before - 7);
    for (int i = 0; i < 4; ++i) {
        r.targets.on_finished("w1", attempt_result::answered, r.b.now);
        r.targets.on_sent("w1");
    }
    CHECK(limit() == before - 6);
}

TEST_CASE("the load of a returning target is ramped up") {
    routing_fixture r;
    vm_record& vm = *r.b.fleet.find_vm("w1");
    vm.state = vm_state::in_maintenance;
    r.apply();
    vm.state = vm_state::serving;
    r.b.now += 1s;
    r.apply();
    const std::int64_t at_once = r.targets.capacity("p", r.b.now);
    const std::int64_t later = r.targets.capacity("p", r.b.now + 3s);
    const std::int64_t whole = r.targets.capacity("p", r.b.now + 6s);
    CHECK(at_once == 17);
    CHECK(later > at_once);
    CHECK(whole == 24);
}

TEST_CASE("a pause is detected before anything is sent") {
    // Guards against routing by an outdated record: the process is stopped for a minute, during which its
    // registration is removed and a VM changes pool.
    pause_detector detector;
    CHECK(detector.check(1s) == pause_verdict::none);
    CHECK(detector.check(2s) == pause_verdict::none);
    CHECK(detector.check(62s) == pause_verdict::refresh_required);
    CHECK(detector.check(62s) == pause_verdict::refresh_required);
    detector.mark_refreshed();
    CHECK(detector.check(63s) == pause_verdict::none);
}

TEST_CASE("the route with the longest prefix that matches at a segment boundary is chosen") {
    configuration config;
    config.routes["a"] = {"/a", "sa", repeatable_rule::no, 1s};
    config.routes["ab"] = {"/a/b", "sb", repeatable_rule::no, 1s};
    struct row {
        const char* path;
        const char* service;
    };
    for (const row& r : std::vector<row>{{"/a", "sa"},
                                         {"/a/x", "sa"},
                                         {"/a/b", "sb"},
                                         {"/a/b/c", "sb"},
                                         {"/a/bc", "sa"},
                                         {"/a?x=1", "sa"},
                                         {"/ab", ""},
                                         {"/", ""},
                                         {"", ""}}) {
        CAPTURE(r.path);
        const route_settings* route = find_route(config, r.path);
        CHECK((route == nullptr ? "" : route->service) == r.service);
    }
}
