#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string waiting_job = "b000000000000000";
const std::string new_job = "c000000000000000";
/// Far more than the VM can do within the objective of any job.
constexpr int many_tasks = 4000;

/// Starts the owner "n1", which accepts more work than its VM can do for a long time, and the entry "n2",
/// which has asked it for a count.
void start_full_pool(node_deployment& d) {
    d.serve_with_one_vm(60s);
    d.start_node("n2");
    d.wait_until_serving("n2");
    REQUIRE(d.call("n1", "POST", "/quotes/" + waiting_job, d.job_body(many_tasks)).code == 200);
    REQUIRE(d.reaches_phase("n2", waiting_job, "running"));
}

bool is_in_inbox(const node_deployment& d, const std::string& job) {
    return d.store.contains("sp/inbox/p/submit/" + job);
}

} // namespace

// Guards against jobs that are accepted by the hundred through the inbox of a pool that has seconds of
// waiting work, by entries that its owner has refused nothing.
TEST_CASE("an entry leaves no job in the inbox of a pool whose owner has told that it is full") {
    node_deployment d;
    start_full_pool(d);
    d.store.hold_writes("sp/job/");
    d.store_in_inbox("a", 1);
    d.kill_node("n1");
    const http_answer refused = d.call("n2", "POST", "/quotes/" + new_job, d.job_body(1));
    CHECK(refused.code == 429);
    CHECK(!refused.headers.get("Retry-After").empty());
    CHECK_FALSE(is_in_inbox(d, new_job));
    // An earlier attempt was accepted, so a repeat must not be refused.
    CHECK(d.call("n2", "POST", "/quotes/a000000000000000", d.job_body(1)).code == 200);
}

// Guards against a refusal of a job that the owner may have accepted: the owner got the submit and hasn't
// answered.
TEST_CASE("a job that a full pool's owner may have accepted is neither refused nor left in the inbox") {
    node_deployment d;
    start_full_pool(d);
    d.store.hold_writes("sp/job/");
    const endpoint owner = d.nodes["n1"].settings->peers;
    d.kill_node("n1");
    std::vector<std::shared_ptr<server_request>> unanswered;
    http_server silent(
        d.loop, {}, [&](const std::shared_ptr<server_request>& request) { unanswered.push_back(request); });
    REQUIRE(silent.listen(owner));
    for (int attempt = 0; attempt < 2; ++attempt) {
        INFO("attempt ", attempt);
        CHECK(d.call("n2", "POST", "/quotes/" + new_job, d.job_body(1)).code == 504);
        CHECK_FALSE(is_in_inbox(d, new_job));
    }
    CHECK(unanswered.size() == 1); // An owner that doesn't answer isn't asked again at once.
}

TEST_CASE("an answer of an owner carries its pool's room, and can be read without it") {
    node::peer_answer answer = node::make_answer(node::peer_outcome::ok);
    const auto without = decode_archive<node::peer_answer>(encode_archive(answer));
    REQUIRE(without);
    CHECK_FALSE(without.value().room);
    answer.room = {1500ms, 800ms, 64'000};
    const auto with = decode_archive<node::peer_answer>(encode_archive(answer));
    REQUIRE(with);
    REQUIRE(with.value().room);
    CHECK(with.value().room->queue_wait == 1500ms);
    CHECK(with.value().room->refuses_for == 800ms);
    CHECK(with.value().room->millicores == 64'000);
}
