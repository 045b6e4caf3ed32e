#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_id = "00000000000000a1";

boost::json::value ask(node_deployment& d, const std::string& node, const std::string& target) {
    http_call request;
    request.to = d.nodes[node].settings->metrics;
    request.method = "GET";
    request.target = target;
    const http_answer answer = d.answer_to(std::move(request));
    REQUIRE(answer.code == 200);
    return boost::json::parse(answer.body);
}

} // namespace

TEST_CASE("the owner of a pool answers who waits, what a job does, and never shows a payload") {
    node_deployment d;
    d.serve_with_one_vm(20s);
    CHECK(d.call("n1", "POST", "/quotes/" + job_id, node_deployment::job_body(200, "secret")).code == 200);
    REQUIRE(d.until([&] { return !d.vms[0]->runs().empty(); }));
    const boost::json::value pools = ask(d, "n1", "/pools");
    REQUIRE(pools.at("pools").as_array().size() == 1);
    CHECK(pools.at("pools").at(0).at("owned_here").as_bool());
    CHECK(pools.at("pools").at(0).at("vms").to_number<int>() == 1);
    const boost::json::value waiting = ask(d, "n1", "/pools/p/waiting");
    REQUIRE(waiting.at("waiting").as_array().size() == 1);
    CHECK(waiting.at("waiting").at(0).at("job").as_string() == job_id);
    CHECK(waiting.at("waiting").at(0).at("reason").as_string() == "capacity");
    const boost::json::value job = ask(d, "n1", "/jobs/" + job_id);
    CHECK(job.at("phase").as_string() == "running");
    CHECK(job.at("steps").at(0).at("tasks").to_number<int>() == 200);
    CHECK_FALSE(job.at("steps").at(0).at("runs").as_array().empty());
    CHECK(boost::json::serialize(job).find("secret") == std::string::npos);
    CHECK(ask(d, "n1", "/accounts").at("accounts").as_array().empty());
}

TEST_CASE("a node that does not own the pool names the owner") {
    node_deployment d;
    d.serve_with_one_vm(1s);
    d.start_node("n2");
    d.wait_until_serving("n2");
    const boost::json::value answer = ask(d, "n2", "/pools/p/waiting");
    CHECK_FALSE(answer.at("owned_here").as_bool());
    CHECK(answer.at("owner").as_string() == "n1");
    const boost::json::value unknown = ask(d, "n2", "/jobs/" + job_id);
    CHECK(unknown.at("phase").is_null());
    CHECK(unknown.at("pools").at(0).at("owner").as_string() == "n1");
}

TEST_CASE("other targets on the metrics address are answered with the metrics") {
    node_deployment d;
    d.serve_with_one_vm(1s);
    CHECK(d.metric("n1", "siskinpaddle_configuration_version") == 2);
}
