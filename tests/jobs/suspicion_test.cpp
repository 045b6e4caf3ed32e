#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Returns evidence from the ends of one VM after the other.
std::vector<crash_evidence> ends(const std::vector<evidence_kind>& kinds,
                                 end_certainty fate = end_certainty::ended) {
    std::vector<crash_evidence> evidence;
    evidence.reserve(kinds.size());
    for (const evidence_kind kind : kinds) {
        evidence.push_back({"v" + std::to_string(evidence.size()), kind, fate, 12});
    }
    return evidence;
}

task_id task_of(const std::string& job, std::uint32_t index = 0) {
    return {job, 0, 0, index};
}

constexpr milliseconds fresh{12};

} // namespace

TEST_CASE("the suspicion level follows from the VMs that ended while running a task") {
    using enum evidence_kind;
    struct row {
        std::string name;
        std::vector<crash_evidence> evidence;
        suspicion expected;
    };
    const std::array rows{
        row{"nothing", {}, suspicion::none},
        row{"one crash", ends({shared}), suspicion::suspected},
        row{"one crash, nothing else ran there", ends({alone}), suspicion::suspected},
        row{"two crashes, each alone", ends({alone, alone}), suspicion::isolated},
        row{"the third, alone", ends({shared, shared, alone}), suspicion::given_up},
        row{"the third, beside other jobs", ends({alone, alone, shared}), suspicion::isolated},
        row{"the fourth, beside other jobs", ends({shared, shared, shared, shared}), suspicion::given_up},
        row{"one under a previous owner", ends({shared, inferred, alone}), suspicion::isolated},
        row{"and one more", ends({shared, inferred, alone, alone}), suspicion::given_up},
        row{"two crashes at different ages",
            {{"v0", shared, end_certainty::ended, 12}, {"v1", shared, end_certainty::ended, 900}},
            suspicion::suspected},
        row{"two at one age after one at another",
            {{"v0", shared, end_certainty::ended, 1228},
             {"v1", shared, end_certainty::ended, 12},
             {"v2", shared, end_certainty::ended, 14}},
            suspicion::isolated},
        row{"and a third, alone",
            {{"v0", shared, end_certainty::ended, 1228},
             {"v1", shared, end_certainty::ended, 12},
             {"v2", shared, end_certainty::ended, 14},
             {"v3", alone, end_certainty::ended, 12}},
            suspicion::given_up},
        row{"the third, alone, at a different age",
            {{"v0", shared, end_certainty::ended, 12},
             {"v1", shared, end_certainty::ended, 20},
             {"v2", alone, end_certainty::ended, 900}},
            suspicion::isolated},
        row{"one loss of many", ends({mass}), suspicion::noted},
        row{"two of them", ends({mass, mass}), suspicion::suspected},
        row{"and a crash alone", ends({mass, mass, alone}), suspicion::isolated},
        row{"and another", ends({mass, mass, alone, alone}), suspicion::given_up},
        row{"VMs that are unresponsive past their lease", ends({alone, alone}, end_certainty::lease_expired),
            suspicion::suspected},
        row{"the fifth end in a row", ends({mass, shared, mass, inferred, mass}), suspicion::given_up},
        row{"four that another task explains, and one",
            ends({explained, explained, explained, explained, mass}), suspicion::isolated},
        row{"crashes that another task explains", ends({explained, explained}), suspicion::suspected},
        row{"VMs that don't respond at present", ends({alone, alone, alone}, end_certainty::unresponsive),
            suspicion::none},
    };
    for (const row& item : rows) {
        INFO(item.name);
        CHECK(suspicion_of(item.evidence) == item.expected);
    }
}

TEST_CASE("the end of a VM is evidence against the tasks that ran there") {
    using enum evidence_kind;
    struct row {
        std::string name;
        vm_end_cause cause;
        bool draining;
        bool mass;
        std::vector<ended_run> runs;
        std::vector<suspect_run> expected;
    };
    const ended_run one{task_of("a"), 1, fresh, true};
    const ended_run same_job{task_of("a", 1), 1, fresh, true};
    const ended_run other{task_of("b"), 1, 700ms, true};
    const ended_run unanswered{task_of("b"), 1, 0ms, false};
    const ended_run long_run{task_of("c"), 1, proven_after, true};
    const std::array rows{
        row{"a single task", vm_end_cause::replaced, false, false, {one}, {{one.task, alone, fresh}}},
        row{"tasks of one job",
            vm_end_cause::superseded,
            false,
            false,
            {one, same_job},
            {{one.task, alone, fresh}, {same_job.task, alone, fresh}}},
        row{"beside one that has run for long",
            vm_end_cause::replaced,
            false,
            false,
            {one, long_run},
            {{one.task, alone, fresh}}},
        row{"beside another job's",
            vm_end_cause::replaced,
            false,
            false,
            {one, other, long_run},
            {{one.task, shared, fresh}, {other.task, shared, 700ms}}},
        row{"beside one whose start was not answered",
            vm_end_cause::replaced,
            false,
            false,
            {one, unanswered},
            {{one.task, shared, fresh}, {unanswered.task, shared, 0ms}}},
        row{"only one that has run for long", vm_end_cause::replaced, false, false, {long_run}, {}},
        row{"a rack is lost", vm_end_cause::replaced, false, true, {one}, {{one.task, mass, fresh}}},
        row{"the VM is only unresponsive",
            vm_end_cause::lease_expired,
            false,
            false,
            {one},
            {{one.task, alone, fresh}}},
        row{"the VM had announced that it would leave",
            vm_end_cause::replaced,
            true,
            false,
            {one, other},
            {}},
        row{"the VM was moved", vm_end_cause::ordered, false, false, {one}, {}},
        row{"the VM was empty", vm_end_cause::replaced, false, false, {}, {}},
    };
    for (const row& item : rows) {
        INFO(item.name);
        vm_end end;
        end.cause = item.cause;
        end.draining = item.draining;
        end.runs = item.runs;
        CHECK(find_suspect_runs(end, item.mass) == item.expected);
    }
}

TEST_CASE("a mass loss is distinguished from single ends") {
    struct row {
        std::string name;
        std::vector<milliseconds> ended;        ///< When other VMs that ended became unresponsive.
        std::vector<milliseconds> unresponsive; ///< When VMs that are unresponsive now became so.
        std::size_t vms;
        bool expected;
    };
    const std::array rows{
        row{"nothing else", {}, {0ms}, 20, false},
        row{"one other", {10ms}, {0ms}, 4, false},
        row{"two others of eight", {10ms}, {0ms, 20ms}, 8, true},
        row{"two others of a large pool", {10ms}, {0ms, 20ms}, 20, false},
        row{"a quarter of a large pool", {1ms, 2ms, 3ms}, {0ms, -4ms}, 20, true},
        row{"one after the other", {-900ms, -600ms, 400ms}, {0ms, 700ms}, 8, false},
    };
    const timestamp moment{100'000};
    for (const row& item : rows) {
        INFO(item.name);
        recent_vm_ends ends;
        for (const milliseconds at : item.ended) {
            ends.add("v" + std::to_string(at.count()), moment + at, moment + 4s);
        }
        std::vector<timestamp> unresponsive;
        for (const milliseconds at : item.unresponsive) {
            unresponsive.push_back(moment + at);
        }
        CHECK(is_mass_loss(ends.count_simultaneous(moment, unresponsive), item.vms) == item.expected);
    }
}

TEST_CASE("crash evidence survives a change of owner, and records without it keep their format") {
    job_progress plain;
    plain.done = "01";
    job_progress held = plain;
    held.crashes[0] = {{"i-86d8894b43", evidence_kind::shared, end_certainty::ended, 12},
                       {"i-c7eaf345da", evidence_kind::alone, end_certainty::ended, 14}};
    const std::string bytes = encode_archive(held);
    const auto read = decode_archive<job_progress>(bytes);
    REQUIRE(read);
    CHECK(read.value().crashes == held.crashes);
    CHECK(decode_archive<job_progress>(encode_archive(plain)).value().crashes.empty());

    job_state job(scheduler_fixture::record("j", {scheduler_fixture::step(2)}).spec, timestamp(0));
    job.restore(read.value());
    CHECK(suspicion_of(job.task(task_of("j")).crashes) == suspicion::isolated);
    CHECK(job.progress().crashes == held.crashes);
}

TEST_CASE("as many suspected jobs start together as stay far below a mass loss") {
    struct together_case {
        std::size_t pool_vms;
        std::size_t jobs;
    };
    for (const together_case& item : {together_case{0, 1}, together_case{2, 1}, together_case{12, 1},
                                      together_case{16, 2}, together_case{48, 6}, together_case{200, 25}}) {
        INFO(item.pool_vms);
        CHECK(max_suspect_jobs_together(item.pool_vms) == item.jobs);
        CHECK_FALSE(is_mass_loss(max_suspect_jobs_together(item.pool_vms), item.pool_vms));
    }
}
