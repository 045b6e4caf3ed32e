#include "jobs/jobs.hpp"

#include <array>
#include <doctest/doctest.h>

using namespace siskinpaddle::jobs;

namespace {

constexpr std::int64_t owner_token = 100;
const std::string first_life = make_incarnation("v1", 1'000);
const std::string second_life = make_incarnation("v1", 2'000);
const std::string other_vm = make_incarnation("v2", 1'000);

} // namespace

TEST_CASE("an incarnation's token is that of the owner or of its record, whichever is higher") {
    struct row {
        const char* name = "";
        std::optional<std::int64_t> recorded_at;
        std::int64_t token = 0;
    };
    constexpr std::array rows{row{"recorded by a previous owner", 0, owner_token},
                              row{"recorded by this owner", 120, 120},
                              row{"recorded under an earlier claim of this owner", 90, owner_token},
                              row{"not recorded", std::nullopt, owner_token}};
    for (const row& item : rows) {
        INFO(std::string(item.name));
        vm_tokens tokens;
        CHECK(tokens.token_for(first_life, owner_token, item.recorded_at) == item.token);
    }
}

// Guards against a call for a VM's former incarnation that has the token of the present one.
TEST_CASE("calls to two incarnations of a VM have tokens of their own") {
    vm_tokens tokens;
    CHECK(tokens.token_for(first_life, owner_token, 110) == 110);
    CHECK(tokens.token_for(second_life, owner_token, 120) == 120);
    CHECK(tokens.token_for(first_life, owner_token, 110) == 110);
    CHECK(tokens.token_for(other_vm, owner_token, 0) == owner_token);
}

// Guards against calls that the VM refuses because those to its former incarnation had a higher token.
TEST_CASE("an incarnation that is not recorded yet has the highest token of its id") {
    vm_tokens tokens;
    static_cast<void>(tokens.token_for(first_life, owner_token, 110));
    CHECK(tokens.token_for(second_life, owner_token, std::nullopt) == 110);
}

// Guards against an owner that takes a refusal caused by its own calls for a successor's.
TEST_CASE("only the refusal of the highest token shows another owner") {
    vm_tokens tokens;
    const std::int64_t former = tokens.token_for(first_life, owner_token, 110);
    const std::int64_t present = tokens.token_for(second_life, owner_token, 120);
    CHECK_FALSE(tokens.handle_refusal(first_life, former));
    CHECK(tokens.token_for(first_life, owner_token, 110) == present);
    CHECK(tokens.handle_refusal(second_life, present));
    CHECK(tokens.handle_refusal(other_vm, owner_token));
}

TEST_CASE("the tokens of a VM that is not called any more are forgotten") {
    vm_tokens tokens;
    static_cast<void>(tokens.token_for(first_life, owner_token, 110));
    tokens.forget(vm_id_of(first_life));
    CHECK(tokens.token_for(second_life, owner_token, std::nullopt) == owner_token);
}

// Guards against a pool that stops for good since a call was refused after its VM was forgotten.
TEST_CASE("the refusal of a call to a forgotten VM shows another owner only above all forgotten tokens") {
    vm_tokens tokens;
    const std::int64_t forgotten = tokens.token_for(first_life, owner_token, 110);
    tokens.forget(vm_id_of(first_life));
    CHECK_FALSE(tokens.handle_refusal(first_life, owner_token));
    CHECK_FALSE(tokens.handle_refusal(other_vm, owner_token));
    CHECK(tokens.handle_refusal(first_life, forgotten));
}
