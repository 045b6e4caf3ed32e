#include "policy/fleet_builder.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::fleet_builder;

namespace {

fleet_record decoded(const std::string& bytes) {
    return boost::leaf::try_handle_all([&] { return decode_fleet(bytes); }, [] { return fleet_record{}; });
}

bool is_refused(const std::string& bytes) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(fleet, decode_fleet(bytes));
            (void)fleet;
            return false;
        },
        [](const decode_error&) { return true; }, [] { return false; });
}

} // namespace

TEST_CASE("a fleet record is unchanged after encoding and decoding; damaged input is refused") {
    fleet_builder b;
    b.entry("e1").vm("w1", "p").vm("w2", "");
    const std::string bytes = encode_fleet(b.fleet);
    CHECK(decoded(bytes) == b.fleet);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        REQUIRE(is_refused(bytes.substr(0, length)));
    }
    CHECK(is_refused(bytes + "x"));
    std::string oversized = bytes;
    std::fill(oversized.begin() + 8, oversized.begin() + 16, '\xff'); // Length field of the write id.
    CHECK(is_refused(oversized));
}

TEST_CASE("a delta applies to its base revision and to no other") {
    fleet_builder b;
    b.entry("e1").vm("w1", "p").vm("w2", "p").vm("w3", "q");
    fleet_record next = b.fleet;
    ++next.revision;
    next.find_vm("w2")->state = vm_state::cordoned;
    next.remove_entry("e1");
    std::erase_if(next.vms, [](const vm_record& vm) { return vm.id == "w1"; });
    const fleet_delta delta = make_delta(b.fleet, next);
    CHECK(delta.changed.size() == 1);
    CHECK(delta.removed == std::vector<std::string>{"w1"});
    fleet_record copy = b.fleet;
    REQUIRE(apply_delta(copy, delta));
    CHECK(copy == next);
    CHECK_FALSE(apply_delta(copy, delta));
    CHECK(copy == next);
}
