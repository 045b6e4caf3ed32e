#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

TEST_CASE("the record contains exactly the VMs that may hold runs") {
    // Guards against a pool that stalls for five seconds after a takeover beside 176 idle VMs: if VMs stay in
    // the record until the platform no longer lists them, the new owner waits for each VM whose machine is
    // leaving.
    struct record_case {
        const char* what = "";
        vm_record_inputs vm;
        bool recorded = false;
    };
    for (const record_case& item : {
             record_case{"just listed", {}, true},
             record_case{"has runs", {.is_idle = false, .recorded = true}, true},
             record_case{"has runs, being evacuated", {.is_idle = false, .evacuating = true}, true},
             record_case{"may have runs, no longer listed", {.listed = false, .is_idle = false}, true},
             record_case{"may have runs, unresponsive", {.is_idle = false, .reachable = false}, true},
             record_case{"empty, evacuated", {.evacuating = true, .recorded = true}, false},
             record_case{"empty, no longer listed", {.listed = false, .recorded = true}, false},
             record_case{
                 "unresponsive, lease may not have expired", {.reachable = false, .recorded = true}, true},
             record_case{"unresponsive for longer than its lease",
                         {.reachable = false, .lease_expired = true, .recorded = true},
                         false},
             record_case{"not recorded, unresponsive", {.reachable = false}, false},
             record_case{"not recorded, responds again", {.lease_expired = true}, true},
         }) {
        INFO(item.what);
        CHECK(belongs_in_record(item.vm) == item.recorded);
    }
}

namespace {

vm_record::vms_by_incarnation record_of(std::initializer_list<const char*> names) {
    vm_record::vms_by_incarnation result;
    for (const char* name : names) {
        vm_info info;
        info.incarnation = name;
        result.emplace(name, info);
    }
    return result;
}

vm_record stored(std::initializer_list<const char*> names) {
    std::vector<vm_info> vms;
    for (const auto& [name, info] : record_of(names)) {
        vms.push_back(info);
    }
    vm_record record;
    record.load(vms, 7);
    return record;
}

} // namespace

TEST_CASE("a VM counts as recorded only if every version that may be stored contains it") {
    // Guards against a task that runs twice after a takeover: if the write that removes a VM from the record
    // is unanswered, the VM may count as recorded and get the task; once the write is carried out, the next
    // owner does not wait for the VM.
    vm_record record = stored({"a", "b"});
    record.begin_write(record_of({"b", "c"}));
    for (const bool answered : {false, true}) { // In flight, then unanswered.
        CHECK_FALSE(record.contains("a"));
        CHECK(record.may_contain("a"));
        CHECK(record.contains("b"));
        CHECK_FALSE(record.contains("c"));
        CHECK(record.may_contain("c"));
        CHECK_FALSE(record.is_confirmed());
        if (!answered) {
            record.write_unanswered();
        }
    }
    record.begin_write(record_of({"a", "b"}));
    CHECK_FALSE(record.contains("a")); // The first write may still be the one carried out.
    CHECK(record.may_contain("c"));
    CHECK(record.revision() == 7);
    record.write_succeeded(9);
    CHECK(record.contains("a"));
    CHECK_FALSE(record.may_contain("c"));
    CHECK(record.is_confirmed());
    CHECK(record.revision() == 9);
}

TEST_CASE("the result of a write decides what is known of the record") {
    struct end_case {
        const char* what = "";
        void (*end)(vm_record&) = nullptr;
        bool certain = false;
        bool names_new = false;
        bool may_name_old = false;
        std::int64_t revision = 0;
    };
    for (const end_case& item : {
             end_case{"carried out", [](vm_record& r) { r.write_succeeded(8); }, true, true, false, 8},
             end_case{"refused", [](vm_record& r) { r.write_refused(); }, true, false, true, 7},
             end_case{"not answered", [](vm_record& r) { r.write_unanswered(); }, false, false, true, 7},
             end_case{"an earlier write was carried out", [](vm_record& r) { r.write_conflicted(8); }, false,
                      false, true, 8},
         }) {
        INFO(item.what);
        vm_record record = stored({"old"});
        record.begin_write(record_of({"new"}));
        CHECK(record.is_writing());
        item.end(record);
        CHECK_FALSE(record.is_writing());
        CHECK(record.is_confirmed() == item.certain);
        CHECK(record.contains("new") == item.names_new);
        CHECK(record.may_contain("old") == item.may_name_old);
        CHECK(record.revision() == item.revision);
    }
}

// Guards against a VM whose token is not above that of calls that were sent before it was recorded.
TEST_CASE("a VM is added at the revision of the write that first contained it") {
    vm_record record = stored({"old"});
    CHECK(record.added_at("old") == 0);
    record.begin_write(record_of({"old", "new"}));
    CHECK(record.added_at("new") == 0);
    record.write_succeeded(8);
    record.begin_write(record_of({"old", "new"}));
    record.write_succeeded(9);
    CHECK(record.added_at("old") == 0);
    CHECK(record.added_at("new") == 8);
    record.begin_write(record_of({"old"}));
    record.write_succeeded(10);
    CHECK(record.added_at("new") == 0);
    record.begin_write(record_of({"old", "new"}));
    record.write_succeeded(11);
    CHECK(record.added_at("new") == 11);
}
