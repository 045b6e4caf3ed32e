#include "trial/worker_client.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds worker_timeout = 1s;

} // namespace

void worker_client::sync(const endpoint& agent, const std::vector<task_call>& calls, milliseconds lease,
                         callback done) {
    http_call call;
    call.to = agent;
    call.method = "POST";
    call.target = "/tasks";
    call.headers.add("Caller", m_caller);
    call.body = encode_task_calls(calls, lease);
    call.timeout = worker_timeout;
    m_client.send(std::move(call), [done = std::move(done)](const http_answer& answer) {
        findings problems;
        worker_answer result;
        if (answer.status == exchange_status::answered && answer.code == 200) {
            result = decode_worker_answer(answer.body, problems);
        }
        const bool is_valid =
            answer.status == exchange_status::answered && answer.code == 200 && problems.empty();
        const exchange_status failure =
            answer.status == exchange_status::answered ? exchange_status::reset : answer.status;
        done(is_valid ? exchange_status::answered : failure, std::move(result));
    });
}

} // namespace siskinpaddle
