#include "fakes/fake_platform.hpp"

#include <csignal>
#include <iostream>

/// Usage: standin_platform PORT LIST_LAG_MS
int main(int argc, char** argv) {
    using namespace siskinpaddle;
    if (argc != 3) {
        std::cerr << "usage: standin_platform PORT LIST_LAG_MS\n";
        return 2;
    }
    event_loop loop;
    fakes::fake_platform platform(loop, milliseconds(std::atoi(argv[2])));
    if (!platform.listen({"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[1]))})) {
        std::cerr << "standin_platform: can't bind " << argv[1] << "\n";
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
