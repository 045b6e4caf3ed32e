#include "net/net.hpp"

#include <iostream>

/// Makes the stand-in platform of the tests delay its answers. Usage: slow_platform PORT DELAY_MS
int main(int argc, char** argv) {
    using namespace siskinpaddle;
    if (argc != 3) {
        std::cerr << "usage: slow_platform PORT DELAY_MS\n";
        return 2;
    }
    event_loop loop;
    http_client client(loop);
    http_call call;
    call.to = {"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[1]))};
    call.method = "POST";
    call.target = "/control";
    call.body = std::string(R"({"trouble":"slow","delay_ms":)") + argv[2] + "}";
    int code = 0;
    client.send(std::move(call), [&](const http_answer& answer) {
        code = answer.code;
        loop.stop();
    });
    loop.run();
    return code == 200 ? 0 : 1;
}
