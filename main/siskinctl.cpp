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

/// Exit codes, documented in docs/OPERATIONS.md.
enum exit_code : int {
    exit_good = 0,
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
    std::vector<std::string> words;
};

struct reply {
    exchange_status status = exchange_status::connect_failed;
    int code = 0;
    boost::json::value body;
};

reply ask(const options& given, const std::string& method, const std::string& target,
          const std::string& body) {
    event_loop loop;
    http_client client(loop);
    http_call call;
    call.to = given.entry;
    call.method = method;
    call.target = target;
    call.body = body;
    call.timeout = 15s;
    call.headers.add("Authorization", "Bearer " + given.credential);
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
    return result.code < 300 ? exit_good : exit_refused;
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

/// Prints the answer: whole with --json, else the array at `rows` as a table.
int show(const options& given, const reply& result, const char* rows) {
    if (const int code = exit_code_for(result); code != exit_good) {
        if (given.json) {
            std::cout << boost::json::serialize(result.body) << "\n";
        }
        print_failure(result);
        return code;
    }
    if (given.json) {
        std::cout << boost::json::serialize(result.body) << "\n";
        return exit_good;
    }
    print_fields(std::cout, result.body);
    if (rows != nullptr) {
        print_table(std::cout, result.body.at(rows).as_array());
    }
    return exit_good;
}

std::string random_write_id() {
    std::random_device device;
    return to_hex((std::uint64_t{device()} << 32U) | device());
}

int submit_patch(const options& given, bool only_check) {
    if (given.words.size() != 3 || given.against.empty()) {
        std::cerr << "siskinctl: patch submit|check FILE --against N\n";
        return exit_usage;
    }
    std::ifstream file(given.words[2], std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    findings problems;
    const boost::json::value patch = parse_json(text.str(), given.words[2], problems);
    if (!file || !problems.empty()) {
        std::cerr << (file ? problems.to_string() : given.words[2] + ": can't be read\n");
        return exit_usage;
    }
    const std::string write_id = given.write_id.empty() ? random_write_id() : given.write_id;
    const boost::json::object body{{"against", std::strtoll(given.against.c_str(), nullptr, 10)},
                                   {"write_id", write_id},
                                   {"patch", patch}};
    const reply result =
        ask(given, "POST", only_check ? "/v1/patches/check" : "/v1/patches", boost::json::serialize(body));
    const int code = show(given, result, nullptr);
    if (code == exit_unknown) {
        std::cerr << "siskinctl: it may be in force; ask again with --write-id " << write_id << "\n";
    }
    return code;
}

int run(const options& given) {
    const std::string command = given.words.empty() ? "" : given.words[0];
    const std::string verb = given.words.size() > 1 ? given.words[1] : "";
    if (command == "patch" && (verb == "submit" || verb == "check")) {
        return submit_patch(given, verb == "check");
    }
    if (command == "config" && verb == "show") {
        const std::string query = given.words.size() > 2 ? "?number=" + given.words[2] : "";
        const reply result = ask(given, "GET", "/v1/config" + query, "");
        if (exit_code_for(result) == exit_good && !given.json) {
            std::cout << boost::json::serialize(result.body) << "\n";
            return exit_good;
        }
        return show(given, result, nullptr);
    }
    const std::map<std::string, const char*> lists{
        {"pools", "pools"}, {"vms", "vms"}, {"waves", "waves"}, {"jobs", "jobs"}, {"status", "entries"}};
    const auto list = lists.find(command);
    if (list == lists.end()) {
        std::cerr << "siskinctl: unknown command '" << command << "'; see --help\n";
        return exit_usage;
    }
    const std::string query = command == "vms" && !given.pool.empty() ? "?pool=" + given.pool : "";
    const reply result = ask(given, "GET", "/v1/" + command + query, "");
    const int code = show(given, result, list->second);
    if (code == exit_good && command == "status" && !given.json) {
        print_table(std::cout, result.body.at("waits").as_array());
    }
    return code;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line(
            "Operators' tool of siskinpaddle. Commands: patch submit FILE --against N, patch check FILE "
            "--against N, config show [N], status, pools, vms [--pool P], waves, jobs. The credential "
            "is read from the environment variable SISKIN_CREDENTIAL. Exit codes: 0 good, 1 usage, "
            "3 conflict, 4 refused, 5 unreachable, 6 outcome unknown.",
            ' ', SISKINPADDLE_VERSION);
        TCLAP::ValueArg<std::string> address("a", "address", "IP number of an entry.", false, "127.0.0.1",
                                             "IP", line);
        TCLAP::ValueArg<int> port("p", "port", "Operators' port of the entry.", true, 0, "PORT", line);
        TCLAP::ValueArg<std::string> against("", "against", "Configuration number of the patch.", false, "",
                                             "N", line);
        TCLAP::ValueArg<std::string> pool("", "pool", "Only this pool.", false, "", "POOL", line);
        TCLAP::ValueArg<std::string> write_id("", "write-id", "Id of an earlier submission.", false, "", "ID",
                                              line);
        TCLAP::SwitchArg json("", "json", "Print JSON.", line);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its arguments.", true, "COMMAND",
                                                    line);
        line.parse(argc, argv);
        const char* credential = std::getenv("SISKIN_CREDENTIAL");
        return run({{address.getValue(), static_cast<std::uint16_t>(port.getValue())},
                    credential == nullptr ? "" : credential,
                    json.getValue(),
                    pool.getValue(),
                    against.getValue(),
                    write_id.getValue(),
                    words.getValue()});
    } catch (const std::exception& error) {
        std::cerr << "siskinctl: " << error.what() << "\n";
        return exit_usage;
    }
}
