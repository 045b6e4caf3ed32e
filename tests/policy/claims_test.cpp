#include "policy/policy.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;

namespace {

using claim_state = claim_shard::claim_state;

const claim_key key_one = make_claim_key("p", "one");
const claim_key key_two = make_claim_key("p", "two");

claim_entry line(const claim_key& key, std::uint64_t nonce, bool released = false) {
    return {key.first, key.second, nonce, released};
}

} // namespace

TEST_CASE("a shard returns the claim state of a key") {
    struct row {
        const char* description;
        std::vector<claim_entry> lines;
        claim_state expected;
    };
    const std::vector<row> rows{
        {"never claimed", {}, claim_state::free},
        {"another key", {line(key_two, 5)}, claim_state::free},
        {"held by this attempt", {line(key_one, 1)}, claim_state::held_by_attempt},
        {"held by another attempt", {line(key_one, 2)}, claim_state::held_by_other},
        {"released", {line(key_one, 2), line(key_one, 2, true)}, claim_state::free},
        {"released and claimed again",
         {line(key_one, 2), line(key_one, 2, true), line(key_one, 3)},
         claim_state::held_by_other},
    };
    for (const row& r : rows) {
        CAPTURE(r.description);
        claim_shard open;
        open.set_open({0, r.lines, {}}, 1);
        CHECK(open.check_claim(key_one, 1) == r.expected);
        claim_shard previous;
        previous.set_open({1, {}, r.lines}, 1);
        CHECK(previous.check_claim(key_one, 1) == r.expected);
        claim_shard closed;
        closed.set_open({2, {}, {}}, 1);
        closed.add_closed(0, r.lines, 0s);
        CHECK(closed.check_claim(key_one, 1) == r.expected);
    }
}

TEST_CASE("when two entries claim one key, one swap succeeds and the other entry reads the claim") {
    // Guards against a request that is sent twice: its entry fails after sending, and the caller retries
    // through another entry. Both entries build on the same version; the store accepts one swap. The other
    // entry must refuse.
    claim_shard first;
    claim_shard second;
    first.set_open({}, 7);
    second.set_open({}, 7);
    REQUIRE(first.check_claim(key_one, 1) == claim_state::free);
    REQUIRE(second.check_claim(key_one, 2) == claim_state::free);
    const claim_log stored = first.make_log_with({line(key_one, 1)}); // Version 8 in the store.
    second.set_open(stored, 8);
    CHECK(second.check_claim(key_one, 2) == claim_state::held_by_other);
    first.set_open(stored, 8);
    // An entry that has lost the store's reply finds its own claim in the same way.
    CHECK(first.check_claim(key_one, 1) == claim_state::held_by_attempt);
}

TEST_CASE("no line is lost when a new generation begins") {
    claim_shard shard;
    std::vector<std::pair<std::uint64_t, std::vector<claim_entry>>> closed;
    std::uint64_t version = 0;
    const auto key = [](int i) { return make_claim_key("p", std::to_string(i)); };
    for (int i = 0; i < 1000; ++i) {
        if (shard.must_close()) {
            if (shard.open().generation > 0) {
                closed.emplace_back(shard.open().generation - 1, shard.open().previous);
            }
            shard.set_open(shard.next_generation(), ++version);
        }
        shard.set_open(shard.make_log_with({line(key(i), 1)}), ++version);
    }
    claim_shard new_copy;
    new_copy.set_open(shard.open(), version);
    std::uint64_t generation = 0;
    while (new_copy.find_missing_generation(generation)) {
        const auto found = std::find_if(closed.begin(), closed.end(),
                                        [&](const auto& item) { return item.first == generation; });
        REQUIRE(found != closed.end());
        new_copy.add_closed(generation, found->second, 0s);
    }
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(new_copy.check_claim(key(i), 2) == claim_state::held_by_other);
    }
    CHECK(new_copy.line_count() == 1000);
}

TEST_CASE("claims are removed only after the retention time") {
    claim_shard shard;
    shard.set_open({5, {}, {}}, 1);
    shard.add_closed(3, {line(key_one, 1)}, 1s);
    shard.remove_expired(1s + claim_retention);
    CHECK(shard.check_claim(key_one, 2) == claim_state::held_by_other);
    shard.remove_expired(2s + claim_retention);
    CHECK(shard.check_claim(key_one, 2) == claim_state::free);
    std::uint64_t generation = 0;
    CHECK_FALSE(shard.find_missing_generation(generation));
}

TEST_CASE("claim keys of different pools are distinct") {
    CHECK(make_claim_key("p", "k") != make_claim_key("q", "k"));
    CHECK(make_claim_key("p", "qk") != make_claim_key("pq", "k"));
}
