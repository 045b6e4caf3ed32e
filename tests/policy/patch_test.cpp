#include "policy/policy.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;

namespace {

boost::json::value base_document() {
    const std::string digits(64, '0');
    return boost::json::parse(R"({"members":{"admin":{"credential_sha256":")" + digits + R"(","admin":true},
        "kuld":{"credential_sha256":")" +
                              digits + R"("},"hobe":{"credential_sha256":")" + digits + R"("}},
        "pools":{"k":{"member":"kuld","promised":2,"size":3},"h":{"member":"hobe","promised":1}},
        "services":{"ks":{"pool":"k"},"hs":{"pool":"h"}},
        "routes":{"kr":{"prefix":"/k","service":"ks"},"hr":{"prefix":"/h","service":"hs"}}})");
}

stored_configuration stored() {
    stored_configuration value{4, base_document(), {}};
    value.history.push_back({3, "w3", "hobe", {"/pools/h/max_queue"}});
    value.history.push_back({4, "w4", "kuld", {"/pools/k/slots"}});
    return value;
}

patch_result submit(const std::string& member, std::uint64_t against, const std::string& write_id,
                    const std::string& merge) {
    return apply_patch(stored(), {member, against, write_id, boost::json::parse(merge)});
}

} // namespace

TEST_CASE("a patch is accepted or refused by its base number, its author and its result") {
    struct row {
        const char* member;
        std::uint64_t against;
        const char* write_id;
        const char* patch;
        patch_verdict verdict;
        std::uint64_t number;
    };
    using v = patch_verdict;
    const std::vector<row> rows{
        {"kuld", 4, "w5", R"({"pools":{"k":{"max_queue":7}}})", v::accepted, 5},
        {"kuld", 4, "w5", R"({"waves":{"w":{"pool":"k","order":1}}})", v::accepted, 5},
        {"admin", 4, "w5", R"({"pools":{"h":{"promised":2}}})", v::accepted, 5},
        // A retry after a lost reply returns the number that the patch already has.
        {"kuld", 3, "w4", R"({"pools":{"k":{"slots":9}}})", v::already_accepted, 4},
        // The write id of another member's patch doesn't identify a retry.
        {"hobe", 3, "w4", R"({"pools":{"h":{"slots":9}}})", v::conflict, 4},
        {"kuld", 3, "w5", R"({"pools":{"k":{"max_queue":7}}})", v::conflict, 4},
        {"kuld", 9, "w5", R"({"pools":{"k":{"max_queue":7}}})", v::conflict, 4},
        {"kuld", 4, "w5", R"({"pools":{"h":{"max_queue":7}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"pools":{"k":{"promised":3}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"pools":{"k":null}, "services":{"ks":null}, "routes":{"kr":null}})",
         v::not_owner, 4},
        {"kuld", 4, "w5", R"({"pools":{"h":{"member":"kuld"}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"services":{"hs":{"pool":"k"}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"services":{"ks":{"pool":"h"}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"waves":{"w":{"pool":"*","order":1}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"waves":{"w":{"pool":"h","order":1}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"members":{"kuld":{"admin":true}}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"weights":{"moves":9}})", v::not_owner, 4},
        {"kuld", 4, "w5", R"({"pools":{"k":{"size":1}}})", v::invalid, 4},
        {"kuld", 4, "w5", R"({"pools":{"k":{"colour":1}}})", v::invalid, 4},
        {"kuld", 4, "w5", R"([1])", v::invalid, 4},
        {"kuld", 4, "w5", R"({})", v::no_change, 4},
        {"admin", 4, "w5", R"({"members":null})", v::invalid, 4},
    };
    for (const row& r : rows) {
        CAPTURE(r.member);
        CAPTURE(r.patch);
        const patch_result result = submit(r.member, r.against, r.write_id, r.patch);
        CHECK(name_of(result.verdict) == name_of(r.verdict));
        CHECK(result.number == r.number);
        CHECK((result.verdict == v::accepted) == (result.next.number == 5));
    }
}

TEST_CASE("a refused patch reports every finding with its JSON pointer") {
    const patch_result result =
        submit("admin", 4, "w5",
               R"({"pools":{"k":{"slots":0,"x":1},"n":{"member":"nobody"}},"routes":{"kr":{"prefix":"k"}}})");
    REQUIRE(result.verdict == patch_verdict::invalid);
    std::vector<std::string> places;
    for (const finding& item : result.problems.items()) {
        places.push_back(item.location);
    }
    for (const char* place :
         {"/pools/k/slots", "/pools/k/x", "/pools/n/promised", "/pools/n/member", "/routes/kr/prefix"}) {
        CAPTURE(place);
        CHECK(std::find(places.begin(), places.end(), place) != places.end());
    }
}

TEST_CASE("a conflict reports the paths that have changed since the patch's base number") {
    CHECK(submit("kuld", 3, "x", R"({"pools":{}})").changed_paths ==
          std::vector<std::string>{"/pools/k/slots"});
    CHECK(submit("kuld", 2, "x", R"({"pools":{}})").changed_paths ==
          std::vector<std::string>{"/pools/h/max_queue", "/pools/k/slots"});
}

TEST_CASE("merge patches follow RFC 7396") {
    struct row {
        const char* target;
        const char* patch;
        const char* result;
    };
    for (const row& r :
         std::vector<row>{{R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
                          {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
                          {R"({"a":"b"})", R"({"a":null})", R"({})"},
                          {R"({"a":[1]})", R"({"a":"c"})", R"({"a":"c"})"},
                          {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
                          {R"(["a"])", R"({"a":{"b":null}})", R"({"a":{}})"},
                          {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"}}) {
        CAPTURE(r.patch);
        CHECK(merge_patch(boost::json::parse(r.target), boost::json::parse(r.patch)) ==
              boost::json::parse(r.result));
    }
}

TEST_CASE("the stored value is unchanged after encoding and decoding; damage is reported") {
    findings problems;
    const stored_configuration copy =
        decode_stored_configuration(encode_stored_configuration(stored()), problems);
    CHECK(problems.empty());
    CHECK(copy.number == 4);
    CHECK(copy.document == base_document());
    CHECK(copy.history.size() == 2);
    CHECK(copy.history[1].write_id == "w4");
    for (const char* damaged :
         {"", "{", "[]", R"({"number":-1})", R"({"number":1,"document":{},"history":[1]})"}) {
        CAPTURE(damaged);
        findings found;
        (void)decode_stored_configuration(damaged, found);
        CHECK_FALSE(found.empty());
    }
}
