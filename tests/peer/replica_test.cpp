#include "peer/peer.hpp"

#include "policy/fleet_builder.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::fleet_builder;

namespace {

std::string config_bytes(std::uint64_t number) {
    return encode_stored_configuration({number, boost::json::object{}, {}});
}

fleet_record fleet_at(std::uint64_t revision) {
    fleet_builder b;
    b.entry("e1").entry("e2", "b").vm("w1", "p").vm("w2", "p");
    b.fleet.revision = revision;
    b.fleet.find_vm("w1")->epoch = static_cast<std::uint32_t>(revision);
    return b.fleet;
}

} // namespace

TEST_CASE("values only change to higher revisions, whatever their source") {
    // Guards against the loss of a configuration that was reported to an operator as in force. A store that
    // was restored from an old backup, or a peer that was paused, offers an older value.
    replica r;
    CHECK(r.apply_stored("config", config_bytes(5), 50) == apply_result::applied);
    CHECK(r.apply_stored("config", config_bytes(5), 51) == apply_result::same);
    CHECK(r.apply_stored("config", config_bytes(4), 99) == apply_result::older);
    CHECK(r.apply_transfer({"config", 3, 30, false, config_bytes(3)}) == apply_result::older);
    CHECK(r.apply_stored("config", "{", 60) == apply_result::damaged);
    CHECK(r.config().number == 5);
    CHECK(r.store_version("config") == 51);
    CHECK(r.apply_stored("fleet", encode_fleet(fleet_at(3)), 1) == apply_result::applied);
    CHECK(r.apply_stored("fleet", encode_fleet(fleet_at(2)), 2) == apply_result::older);
    CHECK(r.apply_stored("fleet", "junk", 2) == apply_result::damaged);
    CHECK(r.apply_stored("other", "junk", 2) == apply_result::damaged);
    CHECK(r.fleet().revision == 3);
}

TEST_CASE("a peer gets a delta when its revision is covered, and the complete value otherwise") {
    replica source;
    replica reader;
    for (std::uint64_t revision = 1; revision <= 10; ++revision) {
        REQUIRE(source.apply_stored("fleet", encode_fleet(fleet_at(revision)), revision) ==
                apply_result::applied);
        if (revision == 4) {
            REQUIRE(reader.apply_stored("fleet", encode_fleet(fleet_at(4)), 4) == apply_result::applied);
        }
    }
    REQUIRE(reader.is_behind(source.revisions()));
    const value_reply reply = source.build_reply({"reader", reader.revisions()});
    REQUIRE(reply.values.size() == 1);
    CHECK(reply.values[0].is_delta);
    CHECK(reader.apply_transfer(reply.values[0]) == apply_result::applied);
    CHECK(reader.fleet() == source.fleet());
    CHECK(reader.store_version("fleet") == 10);
    CHECK_FALSE(reader.is_behind(source.revisions()));
    CHECK(source.build_reply({"reader", reader.revisions()}).values.empty());
    CHECK(reader.apply_transfer(reply.values[0]) == apply_result::same);

    replica new_reader;
    const value_reply whole = source.build_reply({"newcomer", {}});
    CHECK_FALSE(whole.values[0].is_delta);
    CHECK(new_reader.apply_transfer(reply.values[0]) == apply_result::wrong_base);
    CHECK(new_reader.apply_transfer(whole.values[0]) == apply_result::applied);
}

TEST_CASE("exactly one entry of each zone that is not silent watches the store") {
    const fleet_record fleet = [] {
        fleet_builder b;
        b.entry("e1").entry("e2").entry("e3", "b").entry("e4", "b");
        return b.fleet;
    }();
    struct row {
        const char* self;
        std::set<std::string> silent;
        bool watches;
    };
    for (const row& r : std::vector<row>{{"e1", {}, true},
                                         {"e2", {}, false},
                                         {"e2", {"e1"}, true},
                                         {"e3", {"e1"}, true},
                                         {"e4", {}, false},
                                         {"e4", {"e3"}, true},
                                         {"new", {}, true}}) {
        CAPTURE(r.self);
        CHECK(watches_store(fleet, r.self, r.silent) == r.watches);
    }
}

TEST_CASE("each VM has one responsible entry, in its own zone while the zone has one that is not silent") {
    fleet_builder b;
    b.entry("e1").entry("e2").entry("e3", "b");
    std::map<std::string, int> load;
    for (int i = 0; i < 300; ++i) {
        const std::string id = "w" + std::to_string(i);
        b.vm(id, "p");
        const vm_record& vm = *b.fleet.find_vm(id);
        const std::string responsible = find_responsible_entry(b.fleet, vm, {});
        ++load[responsible];
        REQUIRE((responsible == "e1" || responsible == "e2"));
        // When the other entry of the zone becomes silent, this VM keeps its responsible entry.
        const std::string other = responsible == "e1" ? "e2" : "e1";
        REQUIRE(find_responsible_entry(b.fleet, vm, {other}) == responsible);
        REQUIRE(find_responsible_entry(b.fleet, vm, {"e1", "e2"}) == "e3");
        REQUIRE(find_responsible_entry(b.fleet, vm, {"e1", "e2", "e3"}).empty());
    }
    CHECK(load["e1"] > 100);
    CHECK(load["e2"] > 100);
}

TEST_CASE("the number of heartbeats per tick is bounded, and every entry is reached in turn") {
    fleet_builder b;
    for (int i = 0; i < 140; ++i) {
        b.entry("e" + std::to_string(1000 + i), std::string(1, static_cast<char>('a' + i % 8)));
    }
    b.fleet.planner = "e1003";
    std::set<std::string> reached;
    for (std::uint64_t tick = 0; tick < 140; ++tick) {
        const auto peers = select_heartbeat_peers(b.fleet, "e1000", tick);
        REQUIRE(peers.size() <= 4);
        bool reaches_planner = false;
        for (const entry_record& peer : peers) {
            REQUIRE(peer.id != "e1000");
            reaches_planner = reaches_planner || peer.id == "e1003";
            reached.insert(peer.id);
        }
        REQUIRE(reaches_planner);
    }
    CHECK(reached.size() == 139);
}

TEST_CASE("messages with another key, version or kind, or changed in transit, are refused") {
    const std::string key = "a key of more than thirty-two characters";
    const std::string sealed = seal(key, message_kind::heartbeat, "body");
    CHECK(unseal(key, message_kind::heartbeat, sealed) == "body");
    CHECK_FALSE(
        unseal("another key of thirty-two characters..", message_kind::heartbeat, sealed).has_value());
    CHECK_FALSE(unseal(key, message_kind::value_reply, sealed).has_value());
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        std::string changed = sealed;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        REQUIRE_FALSE(unseal(key, message_kind::heartbeat, changed).has_value());
        REQUIRE_FALSE(unseal(key, message_kind::heartbeat, sealed.substr(0, i)).has_value());
    }
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
