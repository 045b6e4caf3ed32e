#include "jobs/pool_bench.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

using kinds = std::vector<evidence_kind>;

std::vector<crash_evidence> evidence_of(const kinds& list) {
    std::vector<crash_evidence> evidence;
    for (const evidence_kind kind : list) {
        evidence.push_back({"v" + std::to_string(evidence.size()), kind});
    }
    return evidence;
}

task_id task_of(const std::string& job, std::uint32_t index = 0) {
    return {job, 0, 0, index};
}

constexpr milliseconds fresh{12};

} // namespace

TEST_CASE("what is held against a task by the VMs that ended under it") {
    using enum evidence_kind;
    struct row {
        std::string name;
        kinds evidence;
        suspicion expected;
    };
    const std::array rows{
        row{"nothing", {}, suspicion::none},
        row{"one crash", {shared}, suspicion::suspected},
        row{"one crash, nothing else ran there", {alone}, suspicion::suspected},
        row{"two crashes, each alone", {alone, alone}, suspicion::isolated},
        row{"the third, alone", {shared, shared, alone}, suspicion::given_up},
        row{"the third, in company", {alone, alone, shared}, suspicion::isolated},
        row{"the fourth, in company", {shared, shared, shared, shared}, suspicion::given_up},
        row{"one under an earlier owner", {shared, inferred, alone}, suspicion::given_up},
        row{"losses of many", {mass, mass}, suspicion::noted},
        row{"silent VMs", {silent, silent}, suspicion::noted},
        row{"three ends that hardly speak against it", {mass, silent, mass}, suspicion::isolated},
        row{"four of them", {mass, silent, mass, silent}, suspicion::isolated},
        row{"the fifth end in a row", {mass, silent, mass, explained, silent}, suspicion::given_up},
        row{"crashes that another task explains", {explained, explained}, suspicion::noted},
        row{"and one more", {explained, explained, alone}, suspicion::isolated},
    };
    for (const row& item : rows) {
        INFO(item.name);
        CHECK(suspicion_of(evidence_of(item.evidence)) == item.expected);
    }
}

TEST_CASE("whom the end of a VM is held against") {
    using enum evidence_kind;
    struct row {
        std::string name;
        vm_end_cause cause;
        bool draining;
        bool mass;
        std::vector<ended_run> runs;
        std::vector<blamed_run> expected;
    };
    const ended_run one{task_of("a"), 1, fresh, true};
    const ended_run same_job{task_of("a", 1), 1, fresh, true};
    const ended_run other{task_of("b"), 1, 700ms, true};
    const ended_run unanswered{task_of("b"), 1, 0ms, false};
    const ended_run lasting{task_of("c"), 1, proven_after, true};
    const std::array rows{
        row{"a task by itself", vm_end_cause::replaced, false, false, {one}, {{one.task, alone}}},
        row{"tasks of one job",
            vm_end_cause::superseded,
            false,
            false,
            {one, same_job},
            {{one.task, alone}, {same_job.task, alone}}},
        row{"beside one that has run for long",
            vm_end_cause::replaced,
            false,
            false,
            {one, lasting},
            {{one.task, alone}}},
        row{"beside another job's",
            vm_end_cause::replaced,
            false,
            false,
            {one, other, lasting},
            {{one.task, shared}, {other.task, shared}}},
        row{"beside one whose start was not answered",
            vm_end_cause::replaced,
            false,
            false,
            {one, unanswered},
            {{one.task, shared}, {unanswered.task, shared}}},
        row{"only one that has run for long", vm_end_cause::replaced, false, false, {lasting}, {}},
        row{"a rack is lost", vm_end_cause::replaced, false, true, {one}, {{one.task, mass}}},
        row{"it is only silent", vm_end_cause::lapsed, false, false, {one}, {{one.task, silent}}},
        row{"it had said that it would leave", vm_end_cause::replaced, true, false, {one, other}, {}},
        row{"it was moved", vm_end_cause::ordered, false, false, {one}, {}},
        row{"it was empty", vm_end_cause::replaced, false, false, {}, {}},
    };
    for (const row& item : rows) {
        INFO(item.name);
        vm_end end;
        end.cause = item.cause;
        end.draining = item.draining;
        end.runs = item.runs;
        CHECK(blame(end, item.mass) == item.expected);
    }
}

TEST_CASE("a loss of many VMs is told from single ends") {
    struct row {
        std::string name;
        std::vector<milliseconds> ended;  ///< When others that ended went silent.
        std::vector<milliseconds> silent; ///< When those did that don't answer now.
        std::size_t vms;
        bool expected;
    };
    const std::array rows{
        row{"nothing else", {}, {0ms}, 20, false},
        row{"one other", {10ms}, {0ms}, 4, false},
        row{"two others of eight", {10ms}, {0ms, 20ms}, 8, true},
        row{"two others of a large pool", {10ms}, {0ms, 20ms}, 20, false},
        row{"a quarter of it", {1ms, 2ms, 3ms}, {0ms, -4ms}, 20, true},
        row{"one after the other", {-900ms, -600ms, 400ms}, {0ms, 700ms}, 8, false},
    };
    const timestamp moment{100'000};
    for (const row& item : rows) {
        INFO(item.name);
        recent_ends ends;
        for (const milliseconds at : item.ended) {
            ends.add("v" + std::to_string(at.count()), moment + at, moment + 4s);
        }
        std::vector<timestamp> silent;
        for (const milliseconds at : item.silent) {
            silent.push_back(moment + at);
        }
        CHECK(is_mass_loss(ends.together(moment, silent), item.vms) == item.expected);
    }
}

TEST_CASE("what is held against a task outlives its owner, and records without it stay as they were") {
    job_progress plain;
    plain.done = "01";
    job_progress held = plain;
    held.crashes[0] = {{"i-86d8894b43", evidence_kind::shared}, {"i-c7eaf345da", evidence_kind::alone}};
    const std::string bytes = encode_archive(held);
    const auto read = decode_archive<job_progress>(bytes);
    REQUIRE(read);
    CHECK(read.value().crashes == held.crashes);
    CHECK(decode_archive<job_progress>(encode_archive(plain)).value().crashes.empty());

    job_state job(pool_bench::record("j", {pool_bench::step(2)}).spec, timestamp(0));
    job.restore(read.value());
    CHECK(suspicion_of(job.task(task_of("j")).crashes) == suspicion::isolated);
    CHECK(job.progress().crashes == held.crashes);
}
