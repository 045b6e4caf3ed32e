#include "trial/task_protocol.hpp"

namespace siskinpaddle {

namespace {

boost::json::object encode_size(const job_size& size) {
    return {{"cpu_millicores", size.cpu_millicores},
            {"memory_mb", size.memory_mb},
            {"accelerators", size.accelerators}};
}

job_size decode_size(const boost::json::value* value, const std::string& path, findings& problems) {
    if (value == nullptr) {
        return {};
    }
    json_object object(*value, path, problems);
    const number_bounds bounds{0, UINT32_MAX};
    return {static_cast<std::uint32_t>(object.number_or("cpu_millicores", 0, bounds)),
            static_cast<std::uint32_t>(object.number_or("memory_mb", 0, bounds)),
            static_cast<std::uint32_t>(object.number_or("accelerators", 0, bounds))};
}

template <typename Enum>
Enum decode_enum(json_object& object, std::string_view key, Enum fallback, findings& problems) {
    const auto value = value_named<Enum>(object.text(key));
    if (!value) {
        problems.add(object.path_of(key), "is not a known name");
    }
    return value.value_or(fallback);
}

/// Calls `visit` with each object of the array "tasks".
template <typename Visit>
void for_each_task(json_object& root, findings& problems, Visit visit) {
    const auto* tasks = root.child("tasks");
    if (tasks == nullptr || !tasks->is_array()) {
        problems.add("/tasks", "must be an array");
        return;
    }
    for (const auto& item : tasks->get_array()) {
        json_object object(item, "/tasks", problems);
        visit(object);
    }
}

} // namespace

std::string encode_task_calls(const std::vector<task_call>& calls, milliseconds lease) {
    boost::json::array tasks;
    for (const task_call& call : calls) {
        tasks.push_back({{"job", call.job},
                         {"epoch", call.epoch},
                         {"order", name_of(call.order)},
                         {"kind", call.kind},
                         {"expected_ms", call.expected_ms},
                         {"size", encode_size(call.size)}});
    }
    return boost::json::serialize(
        boost::json::object{{"lease_ms", lease.count()}, {"tasks", std::move(tasks)}});
}

std::vector<task_call> decode_task_calls(std::string_view text, milliseconds& lease, findings& problems) {
    std::vector<task_call> calls;
    const boost::json::value body = parse_json(text, "", problems);
    json_object root(body, "", problems);
    lease = milliseconds(root.number("lease_ms", {1, 3'600'000}));
    for_each_task(root, problems, [&](json_object& object) {
        task_call call;
        call.job = object.text("job");
        call.epoch = static_cast<std::uint32_t>(object.number("epoch", {0, UINT32_MAX}));
        call.order = decode_enum(object, "order", task_order::run, problems);
        call.kind = object.text_or("kind", "");
        call.expected_ms = static_cast<std::uint64_t>(object.number_or("expected_ms", 0, {0, INT64_MAX}));
        call.size = decode_size(object.child("size"), "/tasks/size", problems);
        calls.push_back(std::move(call));
    });
    return calls;
}

std::string encode_worker_answer(const worker_answer& answer) {
    boost::json::array tasks;
    for (const task_report& report : answer.tasks) {
        tasks.push_back({{"job", report.job},
                         {"epoch", report.epoch},
                         {"state", name_of(report.state)},
                         {"used", encode_size(report.used)}});
    }
    return boost::json::serialize(boost::json::object{{"boot", answer.boot}, {"tasks", std::move(tasks)}});
}

worker_answer decode_worker_answer(std::string_view text, findings& problems) {
    worker_answer answer;
    const boost::json::value body = parse_json(text, "", problems);
    json_object root(body, "", problems);
    answer.boot = static_cast<std::uint64_t>(root.number("boot", {0, INT64_MAX}));
    for_each_task(root, problems, [&](json_object& object) {
        task_report report;
        report.job = object.text("job");
        report.epoch = static_cast<std::uint32_t>(object.number("epoch", {0, UINT32_MAX}));
        report.state = decode_enum(object, "state", task_state::absent, problems);
        report.used = decode_size(object.child("used"), "/tasks/used", problems);
        answer.tasks.push_back(std::move(report));
    });
    return answer;
}

} // namespace siskinpaddle
