#include "core/core.hpp"
#include "main/table.hpp"
#include "net/net.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace siskinpaddle;

namespace {

/// Exit codes of siskinctl, documented in docs/OPERATIONS.md.
enum exit_code : int {
    exit_success = 0,
    exit_usage = 1,
    exit_conflict = 3,
    exit_refused = 4,
    exit_unreachable = 5,
    exit_unknown = 6
};

struct options {
    endpoint entry;
    std::string credential;
    bool json = false;
    std::string pool;
    std::string against;
    std::string write_id;
    std::vector<std::string> arguments;
};

struct reply {
    exchange_status status = exchange_status::connect_failed;
    int code = 0;
    boost::json::value body;
};

reply send_request(const options& opts, const std::string& method, const std::string& target,
                   const std::string& body) {
    event_loop loop;
    http_client client(loop);
    http_call call;
    call.to = opts.entry;
    call.method = method;
    call.target = target;
    call.body = body;
    call.timeout = 15s;
    call.headers.add("Authorization", "Bearer " + opts.credential);
    reply result;
    client.send(std::move(call), [&](const http_answer& answer) {
        result.status = answer.status;
        result.code = answer.code;
        findings problems;
        result.body = parse_json(answer.body, "answer", problems);
        loop.stop();
    });
    loop.run();
    return result;
}

int exit_code_for(const reply& result) {
    if (result.status == exchange_status::connect_failed || result.code == 503) {
        return exit_unreachable;
    }
    if (result.status != exchange_status::answered || result.code == 504) {
        return exit_unknown;
    }
    if (result.code == 409) {
        return exit_conflict;
    }
    return result.code < 300 ? exit_success : exit_refused;
}

void print_failure(const reply& result) {
    if (result.status != exchange_status::answered) {
        std::cerr << "siskinctl: the entry did not answer (" << name_of(result.status) << ")\n";
        return;
    }
    const auto* object = result.body.if_object();
    if (object == nullptr) {
        std::cerr << "siskinctl: answer " << result.code << "\n";
        return;
    }
    for (const char* key : {"error", "verdict"}) {
        if (const auto* text = object->if_contains(key)) {
            std::cerr << "siskinctl: " << cell_text(*text) << "\n";
        }
    }
    if (const auto* items = object->if_contains("findings"); items != nullptr && items->is_array()) {
        for (const auto& item : items->get_array()) {
            std::cerr << "  " << cell_text(item.at("place")) << ": " << cell_text(item.at("message")) << "\n";
        }
    }
    if (const auto* paths = object->if_contains("changed_paths"); paths != nullptr && paths->is_array()) {
        for (const auto& path : paths->get_array()) {
            std::cerr << "  changed since: " << cell_text(path) << "\n";
        }
    }
}

/// Prints the answer and returns the exit code. With --json the whole body is printed as JSON, otherwise its
/// scalar fields and the array under `rows_key` as a table.
int print_reply(const options& opts, const reply& result, const char* rows_key) {
    if (const int code = exit_code_for(result); code != exit_success) {
        if (opts.json) {
            std::cout << boost::json::serialize(result.body) << "\n";
        }
        print_failure(result);
        return code;
    }
    if (opts.json) {
        std::cout << boost::json::serialize(result.body) << "\n";
        return exit_success;
    }
    print_fields(std::cout, result.body);
    if (rows_key != nullptr) {
        print_table(std::cout, result.body.at(rows_key).as_array());
    }
    return exit_success;
}

std::string random_write_id() {
    std::random_device device;
    return to_hex((std::uint64_t{device()} << 32U) | device());
}

int submit_patch(const options& opts, bool only_check) {
    if (opts.arguments.size() != 3 || opts.against.empty()) {
        std::cerr << "siskinctl: patch submit|check FILE --against N\n";
        return exit_usage;
    }
    std::ifstream file(opts.arguments[2], std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    findings problems;
    const boost::json::value patch = parse_json(text.str(), opts.arguments[2], problems);
    if (!file || !problems.empty()) {
        std::cerr << (file ? problems.to_string() : opts.arguments[2] + ": can't be read\n");
        return exit_usage;
    }
    const std::string write_id = opts.write_id.empty() ? random_write_id() : opts.write_id;
    const boost::json::object body{{"against", std::strtoll(opts.against.c_str(), nullptr, 10)},
                                   {"write_id", write_id},
                                   {"patch", patch}};
    const reply result = send_request(opts, "POST", only_check ? "/v1/patches/check" : "/v1/patches",
                                      boost::json::serialize(body));
    const int code = print_reply(opts, result, nullptr);
    if (code == exit_unknown) {
        std::cerr << "siskinctl: the patch may be in force; submit it again with --write-id " << write_id
                  << "\n";
    }
    return code;
}

/// Asks a node of the users' platform, on its metrics address.
int ask_node(const options& opts) {
    const std::string what = opts.arguments.size() > 1 ? opts.arguments[1] : "";
    const std::string name = opts.arguments.size() > 2 ? opts.arguments[2] : "";
    struct question {
        const char* rows_key;
        std::string target;
        bool needs_name;
    };
    const std::map<std::string, question> questions{
        {"pools", {"pools", "/pools", false}},
        {"accounts", {"accounts", "/accounts", false}},
        {"waiting", {"waiting", "/pools/" + name + "/waiting", true}},
        {"job", {"steps", "/jobs/" + name, true}}};
    const auto found = questions.find(what);
    if (found == questions.end() || found->second.needs_name == name.empty()) {
        std::cerr << "siskinctl: node pools|accounts|waiting POOL|job ID\n";
        return exit_usage;
    }
    const reply result = send_request(opts, "GET", found->second.target, "");
    const auto* object = result.body.if_object();
    const bool has_rows = object != nullptr && object->contains(found->second.rows_key);
    return print_reply(opts, result, has_rows ? found->second.rows_key : nullptr);
}

int run_command(const options& opts) {
    const std::string command = opts.arguments.empty() ? "" : opts.arguments[0];
    const std::string subcommand = opts.arguments.size() > 1 ? opts.arguments[1] : "";
    if (command == "node") {
        return ask_node(opts);
    }
    if (command == "patch" && (subcommand == "submit" || subcommand == "check")) {
        return submit_patch(opts, subcommand == "check");
    }
    if (command == "config" && subcommand == "show") {
        const std::string query = opts.arguments.size() > 2 ? "?number=" + opts.arguments[2] : "";
        const reply result = send_request(opts, "GET", "/v1/config" + query, "");
        if (exit_code_for(result) == exit_success && !opts.json) {
            std::cout << boost::json::serialize(result.body) << "\n";
            return exit_success;
        }
        return print_reply(opts, result, nullptr);
    }
    const std::map<std::string, const char*> list_keys{
        {"pools", "pools"}, {"vms", "vms"}, {"waves", "waves"}, {"jobs", "jobs"}, {"status", "entries"}};
    const auto list = list_keys.find(command);
    if (list == list_keys.end()) {
        std::cerr << "siskinctl: unknown command '" << command << "'; see --help\n";
        return exit_usage;
    }
    const std::string query = command == "vms" && !opts.pool.empty() ? "?pool=" + opts.pool : "";
    const reply result = send_request(opts, "GET", "/v1/" + command + query, "");
    const int code = print_reply(opts, result, list->second);
    if (code == exit_success && command == "status" && !opts.json) {
        print_table(std::cout, result.body.at("waits").as_array());
    }
    return code;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command_line(
            "Command-line tool for operators of siskinpaddle. Commands: patch submit FILE --against N, patch "
            "check FILE --against N, config show [N], status, pools, vms [--pool P], waves, jobs. On a node "
            "of the users' platform, with the port of its metrics: node pools, node accounts, node waiting "
            "POOL, node job ID. The "
            "credential is read from the environment variable SISKIN_CREDENTIAL. Exit codes: 0 success, 1 "
            "usage error, 3 conflict, 4 refused, 5 unreachable, 6 outcome unknown.",
            ' ', SISKINPADDLE_VERSION);
        TCLAP::ValueArg<std::string> address("a", "address", "IP address of an entry.", false, "127.0.0.1",
                                             "IP", command_line);
        TCLAP::ValueArg<int> port("p", "port", "Operators' port of the entry, or metrics port of the node.",
                                  true, 0, "PORT", command_line);
        TCLAP::ValueArg<std::string> against("", "against",
                                             "Number of the configuration that the patch is based on.", false,
                                             "", "N", command_line);
        TCLAP::ValueArg<std::string> pool("", "pool", "List only the VMs of this pool.", false, "", "POOL",
                                          command_line);
        TCLAP::ValueArg<std::string> write_id("", "write-id",
                                              "Write id of an earlier submission that is repeated.", false,
                                              "", "ID", command_line);
        TCLAP::SwitchArg json("", "json", "Print JSON.", command_line);
        TCLAP::UnlabeledMultiArg<std::string> arguments("command", "Command and its arguments.", true,
                                                        "COMMAND", command_line);
        command_line.parse(argc, argv);
        const char* credential = std::getenv("SISKIN_CREDENTIAL");
        return run_command({{address.getValue(), static_cast<std::uint16_t>(port.getValue())},
                            credential == nullptr ? "" : credential,
                            json.getValue(),
                            pool.getValue(),
                            against.getValue(),
                            write_id.getValue(),
                            arguments.getValue()});
    } catch (const std::exception& error) {
        std::cerr << "siskinctl: " << error.what() << "\n";
        return exit_usage;
    }
}
