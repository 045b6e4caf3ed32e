#include "gateway/caller_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace siskinpaddle {

namespace {

constexpr std::size_t max_key_length = 255;
constexpr std::int64_t max_deadline_ms = 600'000;

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

bool is_hop_by_hop(std::string_view name) {
    static constexpr std::array<std::string_view, 9> names{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade"};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view known) { return equals_ignoring_case(known, name); });
}

findings check_request(const server_request& request) {
    findings problems;
    const http_headers& headers = request.headers();
    if (headers.has(deadline_header)) {
        const auto value = parse_number(headers.get(deadline_header));
        if (!value || *value < 1 || *value > max_deadline_ms) {
            problems.add(deadline_header, "must be a whole number from 1 to 600000");
        }
    }
    const std::string_view key = headers.get(idempotency_header);
    if (headers.has(idempotency_header) && (key.empty() || key.size() > max_key_length)) {
        problems.add(idempotency_header, "must have 1 to 255 characters");
    }
    if (request.target().empty() || request.target().front() != '/') {
        problems.add("request target", "must be a path");
    }
    return problems;
}

milliseconds resolve_timeout(const server_request& request, const route_settings& route) {
    const auto value = parse_number(request.headers().get(deadline_header));
    return value ? milliseconds(*value) : route.timeout;
}

http_call make_target_call(const caller_request& request, const target_choice& target, timestamp now) {
    http_call call;
    call.to = {target.address, target.port};
    call.method = request.incoming->method();
    call.target = request.incoming->target();
    call.timeout = request.deadline - now;
    call.fresh_connection = !request.repeatable;
    call.body = request.incoming->body();
    for (const auto& [name, value] : request.incoming->headers().fields()) {
        const bool replaced = equals_ignoring_case(name, deadline_header) ||
                              equals_ignoring_case(name, request_id_header) ||
                              equals_ignoring_case(name, "Content-Length");
        if (!is_hop_by_hop(name) && !replaced) {
            call.headers.add(name, value);
        }
    }
    call.headers.add(deadline_header, std::to_string(call.timeout.count()));
    call.headers.add(request_id_header, std::to_string(request.id));
    return call;
}

attempt_result to_attempt_result(const http_answer& answer) {
    switch (answer.status) {
    case exchange_status::answered:
        break;
    case exchange_status::connect_failed:
        return attempt_result::connect_failed;
    case exchange_status::reset:
        return attempt_result::reset_after_send;
    case exchange_status::timed_out:
        return attempt_result::timed_out;
    case exchange_status::incomplete:
        return attempt_result::incomplete_answer;
    case exchange_status::too_large:
        return attempt_result::answer_too_large;
    }
    const bool refused = answer.code == 503 && answer.headers.get(refusal_header) == "not-run";
    return refused ? attempt_result::refused_by_target : attempt_result::answered;
}

} // namespace siskinpaddle
