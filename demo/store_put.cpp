#include "net/net.hpp"

#include <iostream>
#include <iterator>

/// Stores standard input under a key; fails if the key exists. Usage: store_put PLATFORM_PORT KEY
int main(int argc, char** argv) {
    using namespace siskinpaddle;
    if (argc != 3) {
        std::cerr << "usage: store_put PLATFORM_PORT KEY\n";
        return 2;
    }
    event_loop loop;
    http_client client(loop);
    http_call call;
    call.to = {"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[1]))};
    call.method = "PUT";
    call.target = std::string("/kv/") + argv[2];
    call.headers.add("If-Version", "0");
    call.body.assign(std::istreambuf_iterator<char>(std::cin), {});
    int result = 1;
    client.send(std::move(call), [&](const http_answer& answer) {
        result = answer.status == exchange_status::answered && answer.code == 200 ? 0 : 1;
        loop.stop();
    });
    loop.run();
    return result;
}
