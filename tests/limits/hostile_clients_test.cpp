#include "fakes/platform_store.hpp"
#include "limits/client_crowd.hpp"
#include "net/free_port.hpp"
#include "net/loop_until.hpp"
#include "node/quotes_queue.hpp"
#include "platform/platform.hpp"
#include "soak/child_process.hpp"
#include "telemetry/test_log.hpp"

#include <array>
#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// The program under test.
const char* const program = NODE_PROGRAM;

// The limits in the node's settings, far below the defaults.
constexpr int max_held_mb = 4;
constexpr int max_connections = 64;
constexpr int max_service_connections = 16;

/// Most resident memory at any time: a node at work, and three times what its listeners may hold together.
constexpr std::size_t max_resident_kb = (24U + 3U * 4U * max_held_mb) << 10U;
/// Most descriptors: all connections of the four listeners, and what a node at work uses.
constexpr std::size_t max_descriptors = 2 * max_connections + 2 * max_service_connections + 64;

/// The crowd stops when nothing has been sent for this long.
constexpr milliseconds quiet_time = 500ms;
constexpr std::size_t crowd_bytes = 160U << 20U;

enum class listener : std::uint8_t { clients, readiness, peers, metrics };
constexpr std::array listeners{std::pair{listener::clients, "clients"},
                               std::pair{listener::readiness, "readiness"},
                               std::pair{listener::peers, "peers"}, std::pair{listener::metrics, "metrics"}};

struct crowd_case {
    const char* name = "";
    std::size_t connections = 0;
    std::string opening;
    std::string block;
    /// Bytes that each connection sends; 0: its share of `crowd_bytes`.
    std::size_t bytes_each = 0;
};

std::string request_line(const std::string& method, const std::string& path, const std::string& headers) {
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + headers + "\r\n";
}

std::string requests(const std::string& text) {
    constexpr std::size_t requests_per_block = 100;
    std::string block;
    for (std::size_t i = 0; i < requests_per_block; ++i) {
        block += text;
    }
    return block;
}

std::vector<crowd_case> crowd_cases() {
    constexpr std::size_t few = 20;
    constexpr std::size_t many = 300;
    constexpr std::size_t body_bytes = 1'000'000;
    const std::string filler(64U << 10U, 'x');
    const std::string no_route_body = "[" + std::string(2000, ' ') + "]";
    const std::string chunk = "10000\r\n" + filler + "\r\n";
    const std::string length = "Content-Length: ";
    return {
        {"requests ahead at the path that says ready",
         few,
         {},
         requests(request_line("GET", "/v1/readyz", {}))},
        {"requests ahead at a queue", few, {}, requests(request_line("GET", "/quotes/", {}))},
        {"requests ahead at paths that no route has",
         few,
         {},
         requests(request_line("GET", "/nowhere/1", {}))},
        {"requests with bodies ahead at paths that no route has",
         few,
         {},
         requests(request_line("POST", "/nowhere/1", length + std::to_string(no_route_body.size()) + "\r\n") +
                  no_route_body)},
        {"bodies far over the limit, announced", few,
         request_line("POST", "/quotes/00000000000000aa", length + "1000000000\r\n"), filler},
        {"bodies far over the limit, in chunks", few,
         request_line("POST", "/quotes/00000000000000aa", "Transfer-Encoding: chunked\r\n"), chunk},
        {"bodies without a length", few, request_line("POST", "/quotes/00000000000000aa", {}), filler},
        {"headers without an end", few, "GET / HTTP/1.1\r\nX-Filler: ", filler},
        {"bodies just below the limit that don't end", many,
         request_line("POST", "/quotes/00000000000000aa", length + std::to_string(body_bytes) + "\r\n"),
         filler, body_bytes - 1000},
        {"connections that send nothing", many, {}, {}},
        {"connections that send part of a request", many, "GET /v1/re", {}},
    };
}

/// One node process with a store that answers.
class node_process {
  public:
    node_process() : m_store(m_loop), m_client(m_loop) {
        start_test_log();
        REQUIRE(m_store.listen({"127.0.0.1", 0}));
        jobs::fleet_configuration configuration;
        configuration.version = 2;
        configuration.queues = {quotes_queue("/quotes/")};
        configuration.pools = {{"p", false}};
        configuration.max_body_bytes = 65'536;
        m_store.put(std::string(platform::configuration_key), platform::encode_configuration(configuration));
        for (const auto& [where, name] : listeners) {
            m_endpoints[where] = {"127.0.0.1", free_port()};
        }
        m_folder = std::filesystem::temp_directory_path() /
                   ("siskinpaddle-limits-" + std::to_string(m_endpoints[listener::clients].port));
        std::filesystem::create_directories(m_folder);
        const std::string file = m_folder / "n1.json";
        std::ofstream(file) << boost::json::serialize(settings());
        m_process.emplace(program, std::vector<std::string>{"--settings", file}, m_folder / "n1.log");
        REQUIRE(is_answering());
    }
    ~node_process() {
        m_process.reset();
        std::error_code ignored; // A folder that stays behind does no harm.
        std::filesystem::remove_all(m_folder, ignored);
    }
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    [[nodiscard]] const endpoint& address_of(listener where) const { return m_endpoints.at(where); }
    [[nodiscard]] bool is_running() { return m_process->is_running(); }
    /// Precondition: !is_running().
    [[nodiscard]] int exit_code() const { return m_process->exit_code(); }

    /// Lets the crowd send until it has sent all or is not read any more. Returns the most descriptors that
    /// the process had meanwhile.
    std::size_t run(client_crowd& crowd) {
        std::size_t most = 0;
        timestamp sent_at = event_loop::now();
        REQUIRE(loop_until(m_loop, [&] {
            if (crowd.send_more() > 0) {
                sent_at = event_loop::now();
            }
            most = std::max(most, descriptor_count());
            return event_loop::now() - sent_at > quiet_time || !is_running();
        }));
        return most;
    }

    /// Whether an ordinary request to each of the clients' and the readiness address is answered.
    [[nodiscard]] bool is_answering() {
        return loop_until(m_loop, [this] {
            return !is_running() || (code_of(listener::clients, "/quotes/") == 200 &&
                                     code_of(listener::readiness, "/v1/readyz") == 200);
        });
    }

    /// Most memory that the process has had, in KB.
    [[nodiscard]] std::size_t peak_resident_kb() const {
        std::ifstream status("/proc/" + std::to_string(m_process->process_id()) + "/status");
        std::string word;
        while (status >> word) {
            if (word == "VmHWM:") {
                std::size_t value = 0;
                status >> value;
                return value;
            }
        }
        return 0;
    }

  private:
    [[nodiscard]] boost::json::object settings() const {
        const auto text = [this](listener where) { return m_endpoints.at(where).to_string(); };
        return {{"id", "n1"},
                {"availability_zone", "z"},
                {"clients", text(listener::clients)},
                {"readiness", text(listener::readiness)},
                {"address", "127.0.0.1"},
                {"peer_port", m_endpoints.at(listener::peers).port},
                {"metrics_port", m_endpoints.at(listener::metrics).port},
                {"store", endpoint{"127.0.0.1", m_store.port()}.to_string()},
                {"machines", endpoint{"127.0.0.1", free_port()}.to_string()},
                {"advice", ""},
                {"vm_lease_ms", 6000},
                {"order_quiet_ms", 3000},
                {"grace_s", 6},
                {"keep_ended_s", 120},
                {"upkeep_s", 2},
                {"move_s", 1.5},
                {"machine_orders_per_s", 64.0},
                {"processor_share", 1.0},
                {"max_held_mb", max_held_mb},
                {"max_connections", max_connections},
                {"max_peer_held_mb", max_held_mb},
                {"max_peer_connections", max_connections},
                {"max_service_held_mb", max_held_mb},
                {"max_service_connections", max_service_connections}};
    }

    [[nodiscard]] std::size_t descriptor_count() const {
        std::error_code ended; // The process may have ended.
        const std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(m_process->process_id()) + "/fd", ended);
        return ended ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    int code_of(listener where, const std::string& target) {
        http_call call;
        call.to = m_endpoints.at(where);
        call.method = "GET";
        call.target = target;
        call.headers.add("Host", "h.example");
        call.headers.add("Deadline-Ms", "3000");
        call.timeout = 3s;
        call.fresh_connection = true;
        int code = -1;
        m_client.send(std::move(call), [&](const http_answer& answer) { code = answer.code; });
        REQUIRE(loop_until(m_loop, [&] { return code >= 0; }));
        return code;
    }

    event_loop m_loop;
    fakes::platform_store m_store;
    http_client m_client;
    std::map<listener, endpoint> m_endpoints;
    std::filesystem::path m_folder;
    std::optional<soak::child_process> m_process;
};

} // namespace

// Guards against clients that make the process hold more than its machine has, until it ends or hangs.
TEST_CASE("a crowd of clients that don't behave leaves the process alive and within its memory") {
    for (const auto& listened : listeners) {
        const std::string listener_name = listened.second;
        node_process node;
        for (const crowd_case& item : crowd_cases()) {
            INFO(listener_name, ": ", std::string(item.name));
            const std::size_t bytes = item.bytes_each != 0 ? item.bytes_each : crowd_bytes / item.connections;
            client_crowd crowd(node.address_of(listened.first), item.connections,
                               {item.opening, item.block, bytes});
            const std::size_t descriptors = node.run(crowd);
            REQUIRE_MESSAGE(node.is_running(), "exit code ", node.exit_code());
            CHECK(descriptors <= max_descriptors);
            CHECK(node.is_answering());
            CHECK(node.peak_resident_kb() <= max_resident_kb);
            MESSAGE(listener_name, ", ", std::string(item.name), ": ", crowd.sent_bytes() >> 10U,
                    " KB sent, peak ", node.peak_resident_kb(), " KB, ", descriptors, " descriptors");
        }
    }
}
